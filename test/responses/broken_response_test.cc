#include "edge/exchange.h"

#include "edge/one_vm.h"

#include <catch2/catch.hpp>
#include <string>

namespace plantainhaven::edge {
namespace {

// A whole response of a server except for its status line.
FakeHandler
WithStatusLine(const std::string& aLine)
{
  return [aLine](const FakeRequest& aRequest) {
    return FakeAnswer{
      aLine + "\r\n" + IdLine(aRequest) + kSignatureLine + "Content-Length: 5\r\n\r\nwrong", true
    };
  };
}

struct Case
{
  std::string name;
  FakeHandler response;
};

// Requires that callers get a sound response of another server, or none if the request can't be
// repeated.
void
CheckNotForwarded(const Case& aCase)
{
  for (const bool isRead : { true, false }) {
    CAPTURE(aCase.name, isRead);
    OneVm vm;
    vm.EarnRetryBudget();
    const std::size_t before = vm.ReceivedCount();
    vm.FailFirstAttempt(aCase.response);
    const ReceivedResponse answer =
      vm.SendRequest(isRead ? http::verb::get : http::verb::post, isRead ? "/read/x" : "/book/x");
    CHECK(answer.result_int() == (isRead ? 200 : 502));
    CHECK(answer.count(platform::kSignatureHeader) == (isRead ? 1 : 0));
    CHECK(answer.body() == (isRead ? "whole" : "broken\n"));
    CHECK(vm.ReceivedCount() - before == (isRead ? 2 : 1));
  }
}

// A response with status 000 reached callers.
TEST_CASE("A response whose status is no status of HTTP isn't forwarded")
{
  for (const std::string status :
       { "000", "001", "099", "600", "999", "20", "2000", "2x0", "-10", "101", "" }) {
    CheckNotForwarded({ "status " + status, WithStatusLine("HTTP/1.1 " + status + " OK") });
  }
}

} // namespace
} // namespace plantainhaven::edge
