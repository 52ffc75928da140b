#include "plantainhaven/common/program.h"
#include "plantainhaven/standin/server_standin.h"
#include "plantainhaven/standin/store_standin.h"

#include "edge/context.h"
#include "edge/net.h"
#include "edge/simple_server.h"
#include "platform/names.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <string>

// Test double of the platform around plantain-edged: the store, the backend servers, and an
// HTTP interface through which scripts act as the operator.

namespace {

namespace edge = plantainhaven::edge;
namespace options = boost::program_options;
namespace platform = plantainhaven::platform;
namespace standin = plantainhaven::standin;
using edge::QueryValue;
using edge::SimpleRequest;
using edge::SimpleResponse;

constexpr std::chrono::milliseconds kHeartbeat{ 1500 };

class Site
{
public:
  Site(std::uint16_t aStorePort, std::uint16_t aControlPort)
    : store(this->context, "127.0.0.1", aStorePort)
    , signals(this->context, SIGTERM, SIGINT)
  {
    edge::ServeSimple(this->context,
                      { edge::asio::ip::address_v4::loopback(), aControlPort },
                      [this](const SimpleRequest& aRequest) { return this->Answer(aRequest); });
    edge::asio::co_spawn(this->context, this->Beat(), edge::asio::detached);
    this->signals.async_wait([this](const edge::beast::error_code&, int) { this->context.stop(); });
  }
  ~Site() { this->context.Shutdown(); }

  void Run() { this->context.run(); }

private:
  struct Server
  {
    std::unique_ptr<standin::ServerStandin> standin;
    bool isDraining = false;
    int runs = 0;
  };

  edge::Task<void> Beat()
  {
    edge::asio::steady_timer timer(this->context);
    while (true) {
      for (auto& [id, server] : this->servers) {
        this->Report(server);
      }
      co_await edge::Sleep(timer, kHeartbeat);
    }
  }

  void Report(Server& aServer)
  {
    this->store.Put(platform::kServerTable,
                    aServer.standin->Id(),
                    aServer.standin->Report(aServer.standin->Port(), aServer.isDraining));
  }

  SimpleResponse Answer(const SimpleRequest& aRequest)
  {
    const std::string target(aRequest.target());
    const std::string path = target.substr(0, target.find('?'));
    const std::string action = std::string(aRequest.method_string()) + " " + path;
    if (action == "PUT /rows") {
      this->store.Put(QueryValue(target, "table"), QueryValue(target, "key"), aRequest.body());
      return { .status = 200, .body = "written\n" };
    }
    if (action == "DELETE /rows") {
      this->store.Remove(QueryValue(target, "table"), QueryValue(target, "key"));
      return { .status = 200, .body = "removed\n" };
    }
    if (action == "PUT /faults") {
      return this->SetFaults(QueryValue(target, "away"));
    }
    return this->AnswerServer(action, target);
  }

  SimpleResponse SetFaults(const std::string& aAway)
  {
    static const std::map<std::string, standin::StoreOutage> kWays{
      { "no", standin::StoreOutage::kNone },
      { "unavailable", standin::StoreOutage::kUnavailable },
      { "reset", standin::StoreOutage::kReset },
      { "silent", standin::StoreOutage::kSilent },
    };
    const auto way = kWays.find(aAway);
    if (way == kWays.end()) {
      return { .status = 400, .body = "expected away=no, unavailable, reset or silent\n" };
    }
    standin::StoreFaults faults;
    faults.outage = way->second;
    this->store.SetFaults(faults);
    return { .status = 200, .body = "set\n" };
  }

  SimpleResponse AnswerServer(const std::string& aAction, const std::string& aTarget)
  {
    const std::string id = QueryValue(aTarget, "id");
    if (aAction == "PUT /servers") {
      this->AddServer(id, QueryValue(aTarget, "service"), QueryValue(aTarget, "domain"));
      return { .status = 200, .body = "started\n" };
    }
    const auto found = this->servers.find(id);
    if (found == this->servers.end()) {
      return { .status = 404, .body = "no such server or call\n" };
    }
    if (aAction == "GET /servers") {
      return { .status = 200, .body = std::to_string(found->second.runs) + "\n" };
    }
    if (aAction == "PUT /servers/drain") {
      found->second.isDraining = true;
      this->Report(found->second);
      return { .status = 200, .body = "draining\n" };
    }
    if (aAction == "DELETE /servers") {
      this->servers.erase(found);
      this->store.Remove(platform::kServerTable, id);
      return { .status = 200, .body = "ended\n" };
    }
    return { .status = 404, .body = "no such call\n" };
  }

  void AddServer(const std::string& aId, const std::string& aService, const std::string& aDomain)
  {
    standin::ServerOptions server;
    server.id = aId;
    server.service = aService;
    server.failureDomain = aDomain;
    Server& added = this->servers[aId];
    added.standin = std::make_unique<standin::ServerStandin>(
      this->context, server, [this, aId](const standin::ServerRun&) { ++this->servers[aId].runs; });
    this->Report(added);
  }

  edge::Context context;
  standin::StoreStandin store;
  edge::asio::signal_set signals;
  std::map<std::string, Server> servers;
};

} // namespace

int
main(int aArgc, char** aArgv)
{
  std::signal(SIGPIPE, SIG_IGN);
  options::options_description description(
    "plantain-site-standin: stands in for the store, the backend servers and the operator");
  description.add_options()("help", "Print this text.")(
    "store-port", options::value<std::uint16_t>()->required(), "TCP port of the store.")(
    "control-port",
    options::value<std::uint16_t>()->required(),
    "TCP port of the operator's part.");
  try {
    options::variables_map given;
    options::store(options::parse_command_line(aArgc, aArgv, description), given);
    if (given.count("help") > 0) {
      std::cout << description;
      return plantainhaven::kExitOk;
    }
    options::notify(given);
    Site site(given["store-port"].as<std::uint16_t>(), given["control-port"].as<std::uint16_t>());
    site.Run();
    return plantainhaven::kExitOk;
  } catch (const options::error& fault) {
    std::cerr << fault.what() << "\n" << description;
    return plantainhaven::kExitUsage;
  } catch (const std::exception& fault) {
    std::cerr << "plantain-site-standin: " << fault.what() << "\n";
    return plantainhaven::kExitFailure;
  }
}
