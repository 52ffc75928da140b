#pragma once

#include "edge/one_vm.h"
#include "edge/traffic.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace plantainhaven::edge {

// Several VMs of one region that exchange reports unless they are cut off from one another.
class SeveralVms
{
public:
  SeveralVms(int aCount, bool aIsConnected, const std::vector<BackendServer>& aServers)
  {
    FleetView fleet;
    fleet.canAcquireTokens = true;
    for (int i = 0; i < aCount; ++i) {
      fleet.senders.push_back({ NameOf(i), "north" });
    }
    fleet.members = fleet.senders;
    for (int i = 0; i < aCount; ++i) {
      auto vm = std::make_unique<Vm>();
      vm->callersPort = SetUpVm(vm->settings, NameOf(i));
      vm->traffic = std::make_unique<Traffic>(
        vm->context,
        vm->settings,
        platform::Bounds(),
        vm->metrics,
        [](const std::string&, const Envelope&) {},
        [this, i, aIsConnected](const VmReport& aReport) {
          if (aIsConnected) {
            this->Deliver(i, aReport);
          }
        });
      vm->traffic->Start();
      vm->traffic->SetRouting(MakeTestRouting());
      vm->traffic->SetQuota(kWholeQuota);
      vm->traffic->SetServers(aServers, BootClock::Now());
      FleetView heard = fleet;
      if (!aIsConnected) {
        heard.senders = { fleet.senders[static_cast<std::size_t>(i)] };
      }
      vm->traffic->SetFleet(heard);
      this->vms.push_back(std::move(vm));
    }
    for (const auto& vm : this->vms) {
      vm->thread = std::thread([&context = vm->context] { context.run(); });
    }
  }

  ~SeveralVms()
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
  SeveralVms(const SeveralVms&) = delete;
  SeveralVms& operator=(const SeveralVms&) = delete;

  // Sends requests for many objects to each VM until the time has passed. Returns the statuses of
  // the responses, with the reason of a refusal, and whether it lacks a Retry-After field.
  std::set<std::string> SendFor(std::chrono::milliseconds aTime, int aCallersPerVm)
  {
    const BootTime until = BootClock::Now() + aTime;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < this->vms.size() * static_cast<std::size_t>(aCallersPerVm); ++i) {
      callers.emplace_back([this, i, until] { this->RunCaller(i, until); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->statuses;
  }

  // Sends a request to one VM on a new connection and returns the response's status as above.
  std::string Send(std::size_t aVm,
                   http::verb aMethod,
                   const std::string& aPath,
                   const std::string& aBody = {})
  {
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), this->vms[aVm]->callersPort });
    http::request<http::string_body> request(aMethod, aPath, 11);
    request.set(http::field::host, "shop.example");
    request.set(platform::kRequestIdHeader, "one-" + std::to_string(++this->requestCount));
    request.set(platform::kAffinityKeyHeader, "17");
    request.set(platform::kDeadlineHeader, "1500");
    request.set(http::field::authorization, "Token key-1");
    request.body() = aBody;
    request.prepare_payload();
    beast::error_code fault;
    http::write(socket, request, fault);
    beast::flat_buffer buffer;
    ReceivedResponse answer;
    http::read(socket, buffer, answer, fault);
    return fault ? fault.message() : StatusOf(answer);
  }

private:
  struct Vm
  {
    EdgedSettings settings;
    Metrics metrics;
    Context context;
    std::uint16_t callersPort = 0;
    std::unique_ptr<Traffic> traffic;
    std::thread thread;
  };

  static std::string StatusOf(const ReceivedResponse& aResponse)
  {
    const unsigned status = aResponse.result_int();
    const bool isRefusal = status == 503 || status == 429;
    const bool hasTime = aResponse.find(http::field::retry_after) != aResponse.end();
    const std::string reason = aResponse.body().substr(0, aResponse.body().find('\n'));
    return std::to_string(status) + (status >= 400 ? " " + reason : "") +
           (isRefusal && !hasTime ? " without Retry-After" : "");
  }

  static std::string NameOf(int aNumber) { return "vm-" + std::to_string(aNumber + 1); }

  void Deliver(int aFrom, const VmReport& aReport)
  {
    for (int i = 0; i < static_cast<int>(this->vms.size()); ++i) {
      Vm* const vm = this->vms[static_cast<std::size_t>(i)].get();
      if (i != aFrom) {
        asio::post(vm->context, [vm, aReport] { vm->traffic->OnPeerReport(aReport); });
      }
    }
  }

  void RunCaller(std::size_t aNumber, BootTime aUntil)
  {
    const std::size_t vm = aNumber % this->vms.size();
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), this->vms[vm]->callersPort });
    beast::flat_buffer buffer;
    for (int i = 0; BootClock::Now() < aUntil; ++i) {
      http::request<http::string_body> request(
        http::verb::get, "/read/" + NameOf(static_cast<int>(vm)), 11);
      request.set(http::field::host, "shop.example");
      request.set(platform::kRequestIdHeader,
                  "id-" + std::to_string(aNumber) + "-" + std::to_string(i));
      request.set(platform::kAffinityKeyHeader, std::to_string(aNumber * 1000003 + i));
      request.set(platform::kDeadlineHeader, "1500");
      request.set(http::field::authorization, "Token key-1");
      beast::error_code fault;
      http::write(socket, request, fault);
      ReceivedResponse answer;
      http::read(socket, buffer, answer, fault);
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->statuses.insert(fault ? fault.message() : StatusOf(answer));
      if (fault) {
        return;
      }
    }
  }

  std::vector<std::unique_ptr<Vm>> vms;
  std::mutex mutex;
  std::set<std::string> statuses;
  std::atomic<int> requestCount{ 0 };
};

} // namespace plantainhaven::edge
