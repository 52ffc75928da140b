#include "plantainhaven/policy/response/response_rules.h"

#include <catch2/catch.hpp>
#include <string_view>
#include <variant>
#include <vector>

namespace plantainhaven {
namespace {

TEST_CASE("Only responses with a status of HTTP are used")
{
  struct Case
  {
    int status;
    bool isUsed;
  };
  const Case cases[] = {
    { -10, false }, { 0, false },  { 1, false },  { 20, false },  { 99, false },  { 100, true },
    { 101, true },  { 200, true }, { 599, true }, { 600, false }, { 999, false }, { 2000, false },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.status);
    CHECK(std::holds_alternative<Framing>(FramingOf({ .status = entry.status })) == entry.isUsed);
  }
}

TEST_CASE("The head tells how the end of a response's body is found")
{
  struct Case
  {
    const char* name;
    ResponseFacts facts;
    Framing framing;
  };
  const Case cases[] = {
    { "length", { .status = 200, .lengths = 1 }, Framing::kLength },
    { "chunks", { .status = 200, .transferCodings = { "chunked" } }, Framing::kChunked },
    { "chunks in capitals",
      { .status = 200, .transferCodings = { "CHUNKED" } },
      Framing::kChunked },
    { "coded, to HEAD",
      { .status = 200, .isToHead = true, .transferCodings = { "gzip" } },
      Framing::kNone },
    { "neither", { .status = 200 }, Framing::kUntilClose },
    { "failure without a length", { .status = 500 }, Framing::kUntilClose },
    { "to HEAD", { .status = 200, .isToHead = true, .lengths = 1 }, Framing::kNone },
    { "interim", { .status = 103 }, Framing::kNone },
    { "no content", { .status = 204, .lengths = 1 }, Framing::kNone },
    { "not modified", { .status = 304, .lengths = 1 }, Framing::kNone },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    CHECK(std::get<Framing>(FramingOf(entry.facts)) == entry.framing);
  }
}

TEST_CASE("Transfer codings other than chunked alone are faults")
{
  struct Case
  {
    const char* name;
    ResponseFacts facts;
  };
  const Case cases[] = {
    { "another", { .status = 200, .transferCodings = { "gzip" } } },
    { "chunked and another", { .status = 200, .transferCodings = { "gzip, chunked" } } },
    { "in two fields", { .status = 200, .transferCodings = { "gzip", "chunked" } } },
    { "chunked twice", { .status = 200, .transferCodings = { "chunked", "chunked" } } },
    { "a longer name", { .status = 200, .transferCodings = { "xchunked" } } },
    { "none", { .status = 200, .transferCodings = { "" } } },
    { "in HTTP/1.0", { .status = 200, .isHttp10 = true, .transferCodings = { "chunked" } } },
    { "beside a length", { .status = 200, .lengths = 1, .transferCodings = { "chunked" } } },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    const auto checked = FramingOf(entry.facts);
    REQUIRE(std::holds_alternative<ResponseFault>(checked));
    CHECK(std::get<ResponseFault>(checked) == ResponseFault::kTransferCoding);
  }
}

TEST_CASE("Folded lines are found")
{
  struct Case
  {
    const char* head;
    bool isFolded;
  };
  const Case cases[] = {
    { "HTTP/1.1 200 OK\r\nA: b\r\nC: d\r\n\r\n", false },
    { "HTTP/1.1 200 OK\r\nA: b\r\n : c\r\n\r\n", true },
    { "HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n", true },
    { "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", true },
    { "A: b\t \r\n\r\n", false },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.head);
    CHECK(HasFoldedLine(entry.head) == entry.isFolded);
  }
}

TEST_CASE("A body that ends with the connection is whole only if that ended in order")
{
  struct Case
  {
    Framing framing;
    bool isComplete;
    ConnectionEnd end;
    bool isWhole;
  };
  const Case cases[] = {
    { Framing::kUntilClose, true, ConnectionEnd::kOrderly, true },
    { Framing::kUntilClose, true, ConnectionEnd::kBroken, false },
    { Framing::kUntilClose, false, ConnectionEnd::kOrderly, false },
    { Framing::kLength, true, ConnectionEnd::kBroken, true },
    { Framing::kLength, false, ConnectionEnd::kOrderly, false },
    { Framing::kChunked, true, ConnectionEnd::kBroken, true },
    { Framing::kChunked, false, ConnectionEnd::kOrderly, false },
    { Framing::kNone, true, ConnectionEnd::kBroken, true },
  };
  for (const Case& entry : cases) {
    CAPTURE(static_cast<int>(entry.framing), entry.isComplete, static_cast<int>(entry.end));
    CHECK(IsWhole(entry.framing, entry.isComplete, entry.end) == entry.isWhole);
  }
}

} // namespace
} // namespace plantainhaven
