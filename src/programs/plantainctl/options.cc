#include "programs/plantainctl/options.h"

#include "common/setting_value.h"

#include <cstdlib>
#include <sstream>

#include <boost/program_options.hpp>

namespace plantainhaven::ctl {

namespace {

namespace po = boost::program_options;

constexpr const char* kDefaultTimeout = "10s";
constexpr const char* kDefaultWaitLimit = "60s";
constexpr const char* kServerVariable = "PLANTAINCTL_SERVER";
constexpr const char* kTokenVariable = "PLANTAINCTL_TOKEN";

using Strings = std::vector<std::string>;

po::options_description
VisibleOptions()
{
  po::options_description options("Options");
  options.add_options()
    // clang-format off
    ("help,h", "show this help")
    ("version", "show the program's version")
    ("server,s", po::value<Strings>()->composing()->value_name("ADDRESS:PORT"),
     "resource API of a VM; may be repeated or hold a comma-separated list: the next is tried "
     "when one can't be reached (or PLANTAINCTL_SERVER)")
    ("token", po::value<std::string>()->value_name("TOKEN"),
     "operator's token (or PLANTAINCTL_TOKEN, which other users of the machine don't see)")
    ("output,o", po::value<std::string>()->default_value("table")->value_name("FORMAT"),
     "table or json")
    ("timeout", po::value<std::string>()->default_value(kDefaultTimeout)->value_name("TIME"),
     "longest wait for one server's answer")
    ("wait", po::bool_switch(), "after a write, wait until it is accepted")
    ("wait-limit", po::value<std::string>()->default_value(kDefaultWaitLimit)->value_name("TIME"),
     "longest wait for acceptance")
    ("change-id", po::value<std::string>()->value_name("ID"),
     "repeat a write whose outcome is unknown under its change id")
    ("file,f", po::value<Strings>()->composing()->value_name("FILE"),
     "apply: file of resources in JSON, - for standard input; may be repeated")
    ("if-version", po::value<std::uint64_t>()->value_name("VERSION"),
     "delete: only if the resource has this version")
    ("after", po::value<std::uint64_t>()->value_name("REVISION"),
     "watch: begin after this revision instead of now")
    ("count", po::value<std::uint64_t>()->value_name("NUMBER"),
     "watch: end after this many changes")
    ("cap", po::value<double>()->value_name("POINTS"),
     "shift: most percentage points that may move in one interval")
    ("interval", po::value<std::string>()->value_name("TIME"),
     "shift: interval of the cap")
    // clang-format on
    ;
  return options;
}

Error
UsageError(std::string aMessage)
{
  return { ErrorKind::kInvalid, std::move(aMessage), "see plantainctl --help" };
}

std::string
FromEnvironment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? std::string{} : std::string(value);
}

template<typename T>
std::optional<T>
Optional(const po::variables_map& aValues, const char* aName)
{
  return aValues.count(aName) == 0 ? std::nullopt : std::optional(aValues[aName].as<T>());
}

// Reads a time option into `aTime`, which stays as it is when the option is absent.
Result<Done>
ReadTime(const po::variables_map& aValues,
         const char* aName,
         std::optional<std::chrono::nanoseconds>& aTime)
{
  const std::optional<std::string> text = Optional<std::string>(aValues, aName);
  if (!text) {
    return Done{};
  }
  aTime = ParseDuration(*text);
  if (aTime && aTime->count() > 0) {
    return Done{};
  }
  return UsageError("--" + std::string(aName) + " is \"" + *text +
                    "\", expected a time such as 10s or 500ms");
}

Result<Done>
ReadTimes(const po::variables_map& aValues, Options& aOptions)
{
  std::optional<std::chrono::nanoseconds> timeout;
  if (Result<Done> read = ReadTime(aValues, "timeout", timeout); !IsOk(read)) {
    return read;
  }
  aOptions.client.timeout = std::chrono::ceil<std::chrono::milliseconds>(*timeout);
  std::optional<std::chrono::nanoseconds> waitLimit;
  if (Result<Done> read = ReadTime(aValues, "wait-limit", waitLimit); !IsOk(read)) {
    return read;
  }
  if (aValues["wait"].as<bool>()) {
    aOptions.wait = waitLimit;
  }
  return ReadTime(aValues, "interval", aOptions.interval);
}

Result<Done>
ReadServers(const po::variables_map& aValues, Options& aOptions)
{
  Strings lists = Optional<Strings>(aValues, "server").value_or(Strings{});
  if (lists.empty()) {
    lists.push_back(FromEnvironment(kServerVariable));
  }
  for (const std::string& list : lists) {
    std::istringstream input(list);
    for (std::string text; std::getline(input, text, ',');) {
      const Result<ApiServer> server = ParseApiServer(text);
      if (!IsOk(server)) {
        return ErrorOf(server);
      }
      aOptions.client.servers.push_back(ValueOf(server));
    }
  }
  return Done{};
}

Result<Done>
ReadOutput(const po::variables_map& aValues, Options& aOptions)
{
  const auto& format = aValues["output"].as<std::string>();
  if (format != "table" && format != "json") {
    return UsageError("--output is \"" + format + "\", expected table or json");
  }
  aOptions.output = format == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  return Done{};
}

po::variables_map
ReadValues(int aArgc, const char* const* aArgv)
{
  po::options_description all = VisibleOptions();
  all.add_options()("word", po::value<Strings>());
  po::positional_options_description positions;
  positions.add("word", -1);
  po::variables_map values;
  po::store(po::command_line_parser(aArgc, aArgv).options(all).positional(positions).run(), values);
  po::notify(values);
  return values;
}

Result<Options>
Understand(const po::variables_map& aValues)
{
  Options options;
  options.help = aValues.count("help") != 0;
  options.version = aValues.count("version") != 0;
  options.client.token =
    Optional<std::string>(aValues, "token").value_or(FromEnvironment(kTokenVariable));
  options.files = Optional<Strings>(aValues, "file").value_or(Strings{});
  options.changeId = Optional<std::string>(aValues, "change-id").value_or("");
  options.ifVersion = Optional<std::uint64_t>(aValues, "if-version");
  options.after = Optional<std::uint64_t>(aValues, "after");
  options.count = Optional<std::uint64_t>(aValues, "count");
  options.cap = Optional<double>(aValues, "cap");
  options.words = Optional<Strings>(aValues, "word").value_or(Strings{});
  for (const auto read : { ReadTimes, ReadServers, ReadOutput }) {
    if (Result<Done> done = read(aValues, options); !IsOk(done)) {
      return ErrorOf(done);
    }
  }
  return options;
}

} // namespace

Result<Options>
ParseOptions(int aArgc, const char* const* aArgv)
{
  try {
    return Understand(ReadValues(aArgc, aArgv));
  } catch (const po::error& error) {
    return UsageError(error.what());
  }
}

std::string
DescribeOptions()
{
  std::ostringstream text;
  text << VisibleOptions();
  return text.str();
}

} // namespace plantainhaven::ctl
