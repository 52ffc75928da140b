#include "plantainhaven/http/message.h"

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

TEST_CASE("Header names compare without regard to case; order and duplicates stay")
{
  HttpHeaders headers;
  headers.Add("X-A", "1");
  headers.Add("x-b", "2");
  headers.Add("x-a", "3");
  CHECK(headers.Get("x-A") == "1");
  CHECK(headers.CountOf("X-a") == 2);
  CHECK(headers.Get("X") == "");
  CHECK(headers.All()[2].value == "3");
  headers.Remove("X-A");
  CHECK(headers.All().size() == 1);
}

TEST_CASE("Query parameters are found and decoded")
{
  struct Case
  {
    const char* target;
    const char* name;
    const char* expected;
  };
  const Case cases[] = {
    { "/a?page=2", "page", "2" },   { "/a?x=1&page=2&page=3", "page", "2" },
    { "/a", "page", "" },           { "/a?page", "page", "" },
    { "/a?page=", "page", "" },     { "/a?q=a%20b+c%2B", "q", "a b c+" },
    { "/a?q=100%", "q", "100%" },   { "/a?q=%zz%4", "q", "%zz%4" },
    { "/a?p%61ge=2", "page", "2" }, { "/a?xpage=1&page=2", "page", "2" },
    { "/a?q=a=b", "q", "a=b" },     { "/a?&&page=2", "page", "2" },
  };
  for (const Case& one : cases) {
    CAPTURE(one.target);
    HttpRequest request;
    request.target = one.target;
    CHECK(request.Query(one.name) == one.expected);
  }
}

} // namespace
} // namespace plantainhaven
