#include "edge/cuttable_path.h"
#include "edge/fleet.h"
#include "edge/one_vm.h"
#include "edge/traffic.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven::edge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWork{ 20 };
// Time in which a VM must find out that its path is cut and turn to another VM.
constexpr seconds kReactionTime{ 2 };

FakeAnswer
ServedAfterWork(const FakeRequest& aRequest)
{
  std::this_thread::sleep_for(kWork);
  return Served(aRequest);
}

// Counts of responses by status, with the reason of a refusal; "closed" for none.
using Statuses = std::map<std::string, int>;

double
ServedFraction(const Statuses& aStatuses)
{
  int sum = 0;
  for (const auto& [status, count] : aStatuses) {
    sum += count;
  }
  const auto served = aStatuses.find("200");
  return sum == 0 || served == aStatuses.end() ? 0.0 : double(served->second) / sum;
}

// Backend servers in two failure domains, and VMs that reach each of them over a path of their
// own. The VMs exchange reports as in a fleet.
class FleetWithPaths
{
public:
  explicit FleetWithPaths(int aVms)
  {
    for (int i = 0; i < kServers; ++i) {
      this->servers.push_back(std::make_unique<FakeServer>(ServedAfterWork));
    }
    for (int i = 0; i < aVms; ++i) {
      this->AddVm(i);
    }
    for (const auto& vm : this->vms) {
      vm->thread = std::thread([&context = vm->context] { context.run(); });
    }
    this->PublishViews();
  }

  ~FleetWithPaths()
  {
    for (const auto& vm : this->vms) {
      vm->context.stop();
    }
    for (const auto& vm : this->vms) {
      vm->thread.join();
    }
    for (const auto& vm : this->vms) {
      vm->context.Shutdown();
    }
  }
  FleetWithPaths(const FleetWithPaths&) = delete;
  FleetWithPaths& operator=(const FleetWithPaths&) = delete;

  void Cut(int aVm, CutForm aForm)
  {
    for (const auto& path : this->vms[static_cast<std::size_t>(aVm)]->paths) {
      path->Cut(aForm);
    }
  }
  void Heal(int aVm)
  {
    for (const auto& path : this->vms[static_cast<std::size_t>(aVm)]->paths) {
      path->Heal();
    }
  }

  // Sends requests to one VM from several callers at once until the time has passed.
  Statuses SendFor(int aVm, milliseconds aTime, int aCallers, const std::string& aPath = "/read/x")
  {
    Statuses statuses;
    const BootTime until = BootClock::Now() + aTime;
    std::vector<std::thread> callers;
    for (int i = 0; i < aCallers; ++i) {
      callers.emplace_back([&, i] {
        for (int number = 0; BootClock::Now() < until; ++number) {
          const std::string status = this->SendOne(aVm, aPath, i * 1009 + number);
          const std::lock_guard<std::mutex> lock(this->mutex);
          ++statuses[status];
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return statuses;
  }

  // How often each request id arrived at any backend server.
  std::map<std::string, int> Arrivals() const
  {
    std::map<std::string, int> arrivals;
    for (const auto& server : this->servers) {
      for (const FakeRequest& request : server->Arrived()) {
        const auto id = request[platform::kRequestIdHeader];
        ++arrivals[std::string(id.data(), id.size())];
      }
    }
    return arrivals;
  }

private:
  static constexpr int kServers = 4;

  struct Vm
  {
    EdgedSettings settings;
    Metrics metrics;
    Context context;
    std::uint16_t callersPort = 0;
    std::vector<std::unique_ptr<CuttablePath>> paths;
    std::unique_ptr<Traffic> traffic;
    std::thread thread;
    VmReport report;
  };

  static std::string NameOf(int aNumber) { return "vm-" + std::to_string(aNumber + 1); }

  void AddVm(int aNumber)
  {
    auto vm = std::make_unique<Vm>();
    vm->callersPort = SetUpVm(vm->settings, NameOf(aNumber));
    vm->traffic = std::make_unique<Traffic>(
      vm->context,
      vm->settings,
      platform::Bounds(),
      vm->metrics,
      [](const std::string&, const Envelope&) {},
      [this, aNumber](const VmReport& aReport) { this->OnReport(aNumber, aReport); });
    vm->traffic->Start();
    vm->traffic->SetRouting(MakeTestRouting());
    vm->traffic->SetQuotaRange({ 0, kQuotaRingSize });
    std::vector<BackendServer> entries;
    for (int i = 0; i < kServers; ++i) {
      const FakeServer& fake = *this->servers[static_cast<std::size_t>(i)];
      vm->paths.push_back(std::make_unique<CuttablePath>(fake.Port()));
      BackendServer entry = MakeTestServer("s" + std::to_string(i + 1), fake);
      entry.port = vm->paths.back()->Port();
      entry.failureDomain = i % 2 == 0 ? "north-a" : "north-b";
      entry.slots = 16;
      entries.push_back(entry);
    }
    vm->traffic->SetServers(entries, BootClock::Now());
    this->vms.push_back(std::move(vm));
  }

  void OnReport(int aFrom, const VmReport& aReport)
  {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->vms[static_cast<std::size_t>(aFrom)]->report = aReport;
    }
    this->PublishViews();
  }

  // Hands each VM the view of the fleet that follows from the newest reports.
  void PublishViews()
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& vm : this->vms) {
      const FleetView view = this->ViewOf(*vm);
      asio::post(vm->context, [traffic = vm->traffic.get(), view] { traffic->SetFleet(view); });
    }
  }

  FleetView ViewOf(const Vm& aVm) const
  {
    FleetView view;
    view.canAcquireTokens = true;
    for (int i = 0; i < static_cast<int>(this->vms.size()); ++i) {
      const auto& listen = this->vms[static_cast<std::size_t>(i)]->settings.listen();
      view.senders.push_back({ NameOf(i), "north" });
      view.entries.push_back({ NameOf(i), listen.callers(), "north", "north-a" });
    }
    view.members = view.senders;
    for (const auto& vm : this->vms) {
      const auto relay = RelayOf(vm->settings.vm().name(), vm->report);
      if (vm.get() != &aVm && relay) {
        view.relays.push_back(*relay);
      }
    }
    return view;
  }

  std::string SendOne(int aVm, const std::string& aPath, int aObject)
  {
    asio::io_context context;
    Tcp::socket socket(context);
    beast::error_code fault;
    socket.connect({ asio::ip::make_address("127.0.0.1"),
                     this->vms[static_cast<std::size_t>(aVm)]->callersPort });
    http::request<http::string_body> request(http::verb::post, aPath, 11);
    request.set(http::field::host, "shop.example");
    request.set(platform::kRequestIdHeader, "id-" + std::to_string(++this->requestCount));
    request.set(platform::kAffinityKeyHeader, std::to_string(aObject));
    request.set(platform::kDeadlineHeader, "900");
    request.set(http::field::authorization, "Token key-1");
    request.body() = "body";
    request.prepare_payload();
    http::write(socket, request, fault);
    beast::flat_buffer buffer;
    ReceivedResponse answer;
    http::read(socket, buffer, answer, fault);
    if (fault) {
      return "closed";
    }
    const std::string reason = answer.body().substr(0, answer.body().find('\n'));
    return std::to_string(answer.result_int()) + (answer.result_int() >= 400 ? " " + reason : "");
  }

  std::vector<std::unique_ptr<FakeServer>> servers;
  std::mutex mutex;
  std::atomic<int> requestCount{ 0 };
  std::vector<std::unique_ptr<Vm>> vms;
};

struct FormCase
{
  std::string name;
  CutForm form;
};

const std::vector<FormCase> kForms = { { "connections hang", CutForm::kSilent },
                                       { "connections are reset", CutForm::kReset },
                                       { "new connections are refused", CutForm::kRefused } };

// A VM took its own lost path for the loss of all servers and refused its callers.
TEST_CASE("A VM without a path to any backend server serves its callers")
{
  for (const FormCase& entry : kForms) {
    CAPTURE(entry.name);
    FleetWithPaths fleet(3);
    REQUIRE(ServedFraction(fleet.SendFor(0, milliseconds(500), 2)) == 1.0);
    fleet.Cut(0, entry.form);
    fleet.SendFor(0, kReactionTime, 8);
    const Statuses cut = fleet.SendFor(0, seconds(2), 8);
    const Statuses other = fleet.SendFor(1, seconds(1), 8);
    CAPTURE(cut, other);
    CHECK(ServedFraction(cut) >= 0.98 * ServedFraction(other));
    CHECK(ServedFraction(other) >= 0.98);
  }
}

} // namespace
} // namespace plantainhaven::edge
