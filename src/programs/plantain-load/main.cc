#include "plantainhaven/common/log.h"
#include "plantainhaven/common/program.h"
#include "plantainhaven/common/settings.h"
#include "plantainhaven/load/report_text.h"
#include "plantainhaven/load/runner.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include <boost/program_options.hpp>
#include <google/protobuf/util/json_util.h>

namespace {

using namespace plantainhaven;
namespace options = boost::program_options;

// The run ended, but a bound of the scenario did not hold.
constexpr int kExitBoundBroken = 3;

options::options_description
CommandLineOptions()
{
  options::options_description description("Options");
  auto add = description.add_options();
  add("help,h", "print this help");
  add("version", "print the version");
  add("config,c", options::value<std::string>(), "INI file with the scenario");
  add("check", "check the scenario, then exit");
  add("keys", options::value<std::string>(), "file of lines ACCOUNT KEY");
  add("direct",
      options::value<std::string>(),
      "ADDRESS:PORT of one backend server that gets every request, as a baseline");
  add("json", "write the report as JSON instead of a table");
  add("plot", options::value<std::string>(), "file for an SVG picture of the run");
  add("show",
      options::value<std::string>(),
      "print a report written by --json as a table, then exit");
  add("quiet,q", "no progress lines");
  return description;
}

int
PrintHelp(const options::options_description& aOptions)
{
  std::cout << "plantain-load plays a scenario of callers and reports what they saw.\n\n"
            << "Usage: plantain-load --config FILE [--keys FILE] [options]\n\n"
            << aOptions << "\nSections and keys of the scenario file:\n"
            << DescribeSettings(LoadScenario())
            << "\nExit status: 0 all bounds held, 1 failure, 2 wrong usage or scenario, "
            << "3 a bound did not hold.\n";
  return kExitOk;
}

int
PrintError(const Error& aError)
{
  std::cerr << "plantain-load: " << aError.message << " " << aError.remedy << "\n";
  return kExitUsage;
}

// Reads and checks everything that the command line names.
Result<Scenario>
ReadScenario(const options::variables_map& aValues)
{
  LoadScenario settings;
  const Result<Done> read = ReadSettingsFile(aValues["config"].as<std::string>(), settings);
  if (!IsOk(read)) {
    return ErrorOf(read);
  }
  Result<Scenario> scenario = ParseScenario(settings);
  if (!IsOk(scenario) || aValues.count("keys") == 0) {
    return scenario;
  }
  const Result<Done> keys = ReadKeys(aValues["keys"].as<std::string>(), ValueOf(scenario));
  if (!IsOk(keys)) {
    return ErrorOf(keys);
  }
  return scenario;
}

Result<RunOptions>
MakeRunOptions(const options::variables_map& aValues, const Scenario& aScenario)
{
  RunOptions run;
  run.stop = StopSignal::IsRequested;
  if (aValues.count("quiet") == 0) {
    run.progress = [](const SecondReport& aSecond) { std::cerr << ProgressLine(aSecond) << "\n"; };
  }
  if (aValues.count("direct") != 0) {
    const Result<Endpoint> endpoint = ParseEndpoint(aValues["direct"].as<std::string>());
    if (!IsOk(endpoint)) {
      return ErrorOf(endpoint);
    }
    run.direct = ValueOf(endpoint);
  } else if (aScenario.lookups.empty()) {
    return Error{ ErrorKind::kInvalid,
                  "expected lookup.endpoints or --direct, found neither",
                  "Name the look-up endpoints in the scenario.",
                  "lookup.endpoints" };
  }
  return run;
}

std::string
JsonOf(const LoadReport& aReport)
{
  google::protobuf::util::JsonPrintOptions print;
  print.add_whitespace = true;
  print.always_print_primitive_fields = true;
  print.preserve_proto_field_names = true;
  std::string json;
  const auto status = google::protobuf::util::MessageToJsonString(aReport, &json, print);
  return status.ok() ? json : status.ToString();
}

// Prints the table of a report that an earlier run wrote as JSON.
int
ShowReport(const std::string& aFileName)
{
  std::ifstream file(aFileName);
  const std::string json(std::istreambuf_iterator<char>(file), {});
  LoadReport report;
  if (!google::protobuf::util::JsonStringToMessage(json, &report).ok()) {
    std::cerr << "plantain-load: expected a report in JSON, found none in " << aFileName
              << ". Write one with --json.\n";
    return kExitUsage;
  }
  std::cout << ReportTable(report);
  return kExitOk;
}

int
Play(const options::variables_map& aValues, const Scenario& aScenario)
{
  const Result<RunOptions> run = MakeRunOptions(aValues, aScenario);
  if (!IsOk(run)) {
    return PrintError(ErrorOf(run));
  }
  const LoadReport report = RunScenario(aScenario, ValueOf(run));
  std::cout << (aValues.count("json") != 0 ? JsonOf(report) : ReportTable(report));
  if (aValues.count("plot") != 0) {
    std::ofstream plot(aValues["plot"].as<std::string>());
    plot << ReportPlot(report);
    if (!plot) {
      std::cerr << "plantain-load: expected to write the plot, could not. Check the path.\n";
      return kExitFailure;
    }
  }
  return report.broken_bounds().empty() ? kExitOk : kExitBoundBroken;
}

int
Main(int aArgc, char** aArgv)
{
  const options::options_description description = CommandLineOptions();
  options::variables_map values;
  options::store(options::parse_command_line(aArgc, aArgv, description), values);
  if (values.count("help") != 0) {
    return PrintHelp(description);
  }
  if (values.count("version") != 0) {
    std::cout << "plantain-load " << PH_VERSION << "\n";
    return kExitOk;
  }
  if (values.count("show") != 0) {
    return ShowReport(values["show"].as<std::string>());
  }
  if (values.count("config") == 0) {
    std::cerr << "plantain-load: expected --config FILE. See --help.\n";
    return kExitUsage;
  }
  const Result<Scenario> scenario = ReadScenario(values);
  if (!IsOk(scenario)) {
    return PrintError(ErrorOf(scenario));
  }
  if (values.count("check") != 0) {
    std::cout << "scenario: ok\n";
    return kExitOk;
  }
  StartLog("plantain-load", ValueOf(scenario).settings.log().level());
  return Play(values, ValueOf(scenario));
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  StopSignal::Install();
  try {
    return Main(aArgc, aArgv);
  } catch (const options::error& error) {
    std::cerr << "plantain-load: " << error.what() << ". See --help.\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "plantain-load: " << error.what() << "\n";
    return kExitFailure;
  }
}
