#include "edge/several_vms.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;

// Two backend servers, of which the first answers its first request with given fields.
class TwoServers
{
public:
  TwoServers(const std::string& aStatus, const std::string& aFields)
    : departing([this, aStatus, aFields](const FakeRequest& aRequest) {
      return this->isFirst.exchange(false)
               ? FakeAnswer{ Response(aRequest, aStatus, aFields, "whole") }
               : Served(aRequest);
    })
    , other(Served)
  {
  }
  std::vector<BackendServer> Entries() const
  {
    return { MakeTestServer("s1", this->departing), MakeTestServer("s2", this->other) };
  }
  std::size_t DepartingCount() const { return this->departing.Arrived().size(); }

private:
  std::atomic<bool> isFirst{ true };
  FakeServer departing;
  FakeServer other;
};

TEST_CASE("A server that leaves or wants no requests for a time gets none")
{
  struct Case
  {
    const char* name;
    const char* status;
    std::string fields;
    // Time after which the server gets requests again; zero if it never does.
    milliseconds backAfter;
    bool getsMore;
  };
  const std::string notRun = "X-Plantainhaven-Not-Executed: 1\r\n";
  const Case cases[] = {
    { "plain", "200 OK", kSignatureLine, milliseconds(0), true },
    { "leaving", "200 OK", std::string(kSignatureLine) + "Server-Leaving: 1\r\n", {}, false },
    { "not leaving", "200 OK", std::string(kSignatureLine) + "Server-Leaving: 0\r\n", {}, true },
    { "leaving, with a failure",
      "500 Error",
      std::string(kSignatureLine) + "Server-Leaving: 1\r\n",
      {},
      false },
    { "leaving, with a rejection", "503 Full", notRun + "Server-Leaving: 1\r\n", {}, false },
    { "rejection", "503 Full", notRun, {}, true },
    { "rejection for a time",
      "503 Full",
      notRun + "Retry-After: 1\r\n",
      milliseconds(1000),
      false },
    { "rejection for a fraction",
      "503 Full",
      notRun + "Retry-After: 0.8\r\n",
      milliseconds(800),
      false },
    { "rejection for no time", "503 Full", notRun + "Retry-After: soon\r\n", {}, true },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    TwoServers servers(entry.status, entry.fields);
    SeveralVms vm(1, true, servers.Entries());
    std::set<std::string> expected{ "200" };
    while (servers.DepartingCount() == 0) {
      expected.merge(vm.SendFor(milliseconds(20), 2));
    }
    // What was under way beside the first response ends.
    std::this_thread::sleep_for(milliseconds(50));
    const std::size_t before = servers.DepartingCount();
    const auto statuses = vm.SendFor(milliseconds(500), 2);
    CHECK((servers.DepartingCount() > before) == entry.getsMore);
    // The other server serves all requests that follow.
    CHECK((entry.getsMore || statuses == expected));
    if (entry.backAfter > milliseconds(0)) {
      std::this_thread::sleep_for(entry.backAfter - milliseconds(300));
      vm.SendFor(milliseconds(300), 2);
      CHECK(servers.DepartingCount() > before);
    }
  }
}

} // namespace
} // namespace plantainhaven::edge
