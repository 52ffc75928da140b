#include "plantainhaven/common/program.h"
#include "plantainhaven/common/version.h"
#include "probe.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace plantainhaven;
namespace options = boost::program_options;

constexpr double kMiddle = 0.5;
constexpr double kHigh = 0.99;

options::options_description
CommandLineOptions()
{
  options::options_description description("Options");
  auto add = description.add_options();
  add("help,h", "print this help");
  add("version", "print the version");
  add("api",
      options::value<std::vector<std::string>>()->multitoken()->required(),
      "ADDRESS:PORT of resource APIs");
  add("entry",
      options::value<std::vector<std::string>>()->multitoken()->required(),
      "ADDRESS:PORT of every plantain-entryd");
  add("token", options::value<std::string>()->required(), "operators' token");
  add("account", options::value<std::string>()->required(), "client account that gets the keys");
  add("path", options::value<std::string>()->required(), "path of an idempotent, keyed GET route");
  add("rounds", options::value<int>()->default_value(20), "keys issued and withdrawn");
  add("watch-seconds",
      options::value<double>()->default_value(4),
      "time that a withdrawn key is tried on");
  return description;
}

Result<std::vector<ApiServer>>
ParseServers(const std::vector<std::string>& aTexts)
{
  std::vector<ApiServer> servers;
  for (const std::string& text : aTexts) {
    const Result<ApiServer> server = ParseApiServer(text);
    if (!IsOk(server)) {
      return ErrorOf(server);
    }
    servers.push_back(ValueOf(server));
  }
  return servers;
}

Result<ProbeOptions>
ReadOptions(const options::variables_map& aValues)
{
  ProbeOptions probe;
  Result<std::vector<ApiServer>> apis = ParseServers(aValues["api"].as<std::vector<std::string>>());
  if (!IsOk(apis)) {
    return ErrorOf(apis);
  }
  Result<std::vector<ApiServer>> entries =
    ParseServers(aValues["entry"].as<std::vector<std::string>>());
  if (!IsOk(entries)) {
    return ErrorOf(entries);
  }
  probe.apis = ValueOf(apis);
  probe.entries = ValueOf(entries);
  probe.token = aValues["token"].as<std::string>();
  probe.account = aValues["account"].as<std::string>();
  probe.path = aValues["path"].as<std::string>();
  probe.rounds = aValues["rounds"].as<int>();
  const std::chrono::duration<double> watch(aValues["watch-seconds"].as<double>());
  probe.watchFor = std::chrono::duration_cast<std::chrono::milliseconds>(watch);
  return probe;
}

void
PrintTimes(const char* aName, std::vector<std::chrono::nanoseconds> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  auto at = [&aTimes](double aPart) {
    if (aTimes.empty()) {
      return 0.0;
    }
    const auto last = static_cast<double>(aTimes.size() - 1);
    const std::chrono::duration<double, std::milli> time =
      aTimes[static_cast<std::size_t>(last * aPart)];
    return time.count();
  };
  std::cout << std::left << std::setw(28) << aName << std::right << std::fixed
            << std::setprecision(1) << std::setw(8) << aTimes.size() << std::setw(10) << at(kMiddle)
            << std::setw(10) << at(kHigh) << std::setw(10) << at(1.0) << "\n";
}

int
Fail(const Error& aError)
{
  std::cerr << "plantain-probe: " << aError.message << "\nremedy: " << aError.remedy << "\n";
  return kExitFailure;
}

int
Run(const options::variables_map& aValues)
{
  const Result<ProbeOptions> probe = ReadOptions(aValues);
  if (!IsOk(probe)) {
    Fail(ErrorOf(probe));
    return kExitUsage;
  }
  const Result<ProbeReport> report = RunProbe(ValueOf(probe));
  if (!IsOk(report)) {
    return Fail(ErrorOf(report));
  }
  const ProbeReport& times = ValueOf(report);
  std::cout << "milliseconds                   count       p50       p99       max\n";
  PrintTimes("write accepted after", times.accepted);
  PrintTimes("new key works after", times.issued);
  PrintTimes("withdrawn key's last use", times.withdrawn);
  std::cout << "writes not accepted in time: " << times.notAccepted
            << "\nentry VMs that never accepted a key: " << times.neverAccepted << "\n";
  return kExitOk;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  const options::options_description known = CommandLineOptions();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aArgc, aArgv, known), values);
    if (values.count("help") > 0) {
      std::cout << "plantain-probe measures how soon new and withdrawn keys take effect.\n\n"
                << known;
      return kExitOk;
    }
    if (values.count("version") > 0) {
      std::cout << "plantain-probe " << kVersion << "\n";
      return kExitOk;
    }
    options::notify(values);
  } catch (const options::error& fault) {
    std::cerr << "plantain-probe: " << fault.what() << "\nremedy: see plantain-probe --help\n";
    return kExitUsage;
  }
  return Run(values);
}
