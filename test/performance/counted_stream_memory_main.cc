// Measures the heap bytes of one open stream: the caller's exchange on the
// server side plus the call to an engine on the client side. 10,000 open
// streams must fit into 256 MB.
#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "io/http_client.h"
#include "io/http_server.h"
#include "support/raw_stream.h"

namespace {

using oleander::io::EventLoop;
using oleander::io::HttpCall;
using oleander::io::HttpCallCallbacks;
using oleander::io::HttpCallRequest;
using oleander::io::HttpClient;
using oleander::io::HttpExchange;
using oleander::io::HttpServer;
using oleander::io::RawStream;
using oleander::io::Timer;

constexpr size_t kStreams = 400;
constexpr size_t kBudgetBytes = (size_t{256} << 20) / 10'000;
constexpr char kAddress[] = "127.11.0.2";

size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void RunUntil(EventLoop& loop, const std::function<bool()>& holds) {
  const Timer check = loop.Every(std::chrono::milliseconds(1), [&] {
    if (holds()) {
      loop.Stop();
    }
  });
  const Timer guard = loop.After(std::chrono::seconds(120), [] {
    std::fprintf(stderr, "The streams did not open within 120 s.\n");
    std::exit(1);
  });
  loop.Run();
}

// A server that leaves every answer open after its first chunk.
struct OpenEndedServer {
  explicit OpenEndedServer(EventLoop& loop)
      : server(loop, {.address = kAddress}, [this](auto exchange) {
          exchange->Begin(200, {{"content-type", "text/event-stream"}});
          exchange->Write("data: first\n\n");
          open.push_back(std::move(exchange));
        }) {
    if (!server.Listen().ok()) {
      std::fprintf(stderr, "The server can't listen on %s.\n", kAddress);
      std::exit(1);
    }
  }

  std::vector<std::shared_ptr<HttpExchange>> open;
  HttpServer server;
};

// Returns the heap bytes of one open exchange. The callers are raw sockets.
size_t ExchangeBytes(EventLoop& loop) {
  OpenEndedServer engine(loop);
  std::vector<std::unique_ptr<RawStream>> callers;
  const auto open_up_to = [&](size_t count) {
    while (callers.size() < count) {
      callers.push_back(
          std::make_unique<RawStream>(kAddress, engine.server.port()));
    }
    RunUntil(loop, [&] { return engine.open.size() == count; });
  };
  open_up_to(kStreams);  // Makes the one-time allocations.
  const size_t before = HeapBytes();
  open_up_to(2 * kStreams);
  return (HeapBytes() - before) / kStreams;
}

// Returns the heap bytes of one open call and of the exchange that answers it.
size_t CallAndExchangeBytes(EventLoop& loop) {
  OpenEndedServer engine(loop);
  HttpClient client(loop, std::chrono::seconds(30));
  std::vector<std::unique_ptr<HttpCall>> calls;
  size_t answered = 0;
  const auto open_up_to = [&](size_t count) {
    while (calls.size() < count) {
      HttpCallRequest request;
      request.address = kAddress;
      request.port = engine.server.port();
      HttpCallCallbacks callbacks;
      callbacks.on_body = [&answered](std::string_view) { ++answered; };
      calls.push_back(client.Start(std::move(request), std::move(callbacks)));
    }
    RunUntil(loop, [&] { return answered == count; });
  };
  open_up_to(kStreams);
  const size_t before = HeapBytes();
  open_up_to(2 * kStreams);
  return (HeapBytes() - before) / kStreams;
}

}  // namespace

int main() {
  EventLoop loop;
  const size_t exchange = ExchangeBytes(loop);
  const size_t call_and_exchange = CallAndExchangeBytes(loop);
  const size_t call = call_and_exchange - exchange;
  std::printf(
      "bytes per open stream: exchange %zu, call %zu, sum %zu, "
      "budget %zu\n",
      exchange, call, call_and_exchange, kBudgetBytes);
  return call_and_exchange <= kBudgetBytes ? 0 : 1;
}
