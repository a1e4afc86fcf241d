// Includes h2o's headers with the same settings everywhere. Only the wrappers
// of this layer include this file.
#ifndef OLEANDER_IO_H2O_H_
#define OLEANDER_IO_H2O_H_

#ifndef H2O_USE_LIBUV
#define H2O_USE_LIBUV 0
#endif

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>
}

#endif  // OLEANDER_IO_H2O_H_
