#include "edge/several_vms.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWork{ 15 };
// Time until the VMs have told each other of a crash.
constexpr milliseconds kNewsTime{ 300 };
const std::string kQuarantineRefusal = "503 crashes_servers";

// Backend servers that end when they run a request for a path with "deadly" in it.
class FragileServers
{
public:
  explicit FragileServers(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      this->servers.emplace_back(Served);
      FakeServer& server = this->servers.back();
      server.SetHandler([&server](const FakeRequest& aRequest) {
        std::this_thread::sleep_for(kWork);
        if (std::string(aRequest.target()).find("deadly") == std::string::npos) {
          return Served(aRequest);
        }
        server.Crash();
        return FakeAnswer{ .closes = true };
      });
      this->entries.push_back(MakeTestServer("s" + std::to_string(i + 1), server));
    }
  }
  const std::vector<BackendServer>& Entries() const { return this->entries; }
  int CrashedCount() const
  {
    return static_cast<int>(
      std::count_if(this->servers.begin(), this->servers.end(), [](const FakeServer& aServer) {
        return aServer.HasCrashed();
      }));
  }

private:
  std::list<FakeServer> servers;
  std::vector<BackendServer> entries;
};

// Three crashes, and three retries after the third.
TEST_CASE("A request that ends the servers that run it is kept from the others")
{
  struct Case
  {
    const char* name;
    http::verb method;
    const char* path;
  };
  const Case cases[] = { { "idempotent", http::verb::get, "/read/deadly" },
                         { "not idempotent", http::verb::post, "/book/deadly" } };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    FragileServers servers(16);
    SeveralVms vms(3, true, servers.Entries());
    std::set<std::string> innocent;
    for (int round = 0; round < 4; ++round) {
      for (std::size_t vm = 0; vm < 3; ++vm) {
        vms.Send(vm, entry.method, entry.path, "same");
        const auto statuses = vms.SendFor(kNewsTime, 1);
        innocent.insert(statuses.begin(), statuses.end());
      }
    }
    CHECK(servers.CrashedCount() <= 6);
    CHECK(servers.CrashedCount() >= 1);
    for (std::size_t vm = 0; vm < 3; ++vm) {
      CHECK(vms.Send(vm, entry.method, entry.path, "same") == kQuarantineRefusal);
      CHECK(vms.Send(vm, http::verb::get, "/read/other") == "200");
    }
    CHECK_FALSE(innocent.contains(kQuarantineRefusal));
  }
}

} // namespace
} // namespace plantainhaven::edge
