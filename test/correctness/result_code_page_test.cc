// docs/RESULT_CODES.md lists the same codes as the table in result_code.cc.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "oleander/result_code.h"

namespace oleander {
namespace {

std::string ReadPage() {
  std::ifstream page(std::string(OLEANDER_SOURCE_DIR) +
                     "/docs/RESULT_CODES.md");
  return {std::istreambuf_iterator<char>(page), {}};
}

std::string RowOf(const ResultCodeInfo& info) {
  return fmt::format("| {} | {} | {} | {} | {} |\n",
                     static_cast<int>(info.code), info.name, info.http_status,
                     RanName(info.ran), info.meaning);
}

BOOST_AUTO_TEST_SUITE(the_page_of_result_codes)

BOOST_AUTO_TEST_CASE(has_each_code_of_the_table) {
  const std::string page = ReadPage();
  for (const ResultCodeInfo& info : ResultCodeTable()) {
    BOOST_TEST(page.find(RowOf(info)) != std::string::npos,
               "missing: " << RowOf(info));
  }
}

BOOST_AUTO_TEST_CASE(has_no_other_code) {
  const std::string page = ReadPage();
  size_t rows = 0;
  for (size_t at = page.find("\n| "); at != std::string::npos;
       at = page.find("\n| ", at + 1)) {
    ++rows;
  }
  // The header row of the table matches too.
  BOOST_TEST(rows == ResultCodeTable().size() + 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace oleander
