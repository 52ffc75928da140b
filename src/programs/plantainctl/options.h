#pragma once

#include "plantainhaven/api/client.h"
#include "plantainhaven/common/result.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace plantainhaven::ctl {

enum class OutputFormat
{
  kTable,
  kJson,
};

// The command line as far as it is understood without knowing the command.
struct Options
{
  bool help = false;
  bool version = false;
  ApiClientOptions client;
  OutputFormat output = OutputFormat::kTable;
  std::vector<std::string> files;
  // Change id of an earlier write whose outcome is unknown; empty for a new one.
  std::string changeId;
  // Longest wait for acceptance; nothing when the answer 202 is the end.
  std::optional<std::chrono::nanoseconds> wait;
  // Version that a resource must have to be deleted.
  std::optional<std::uint64_t> ifVersion;
  std::optional<std::uint64_t> after;
  std::optional<std::uint64_t> count;
  std::optional<double> cap;
  std::optional<std::chrono::nanoseconds> interval;
  // Words of the command with its arguments.
  std::vector<std::string> words;
};

// Reads the command line and the environment. Errors are kInvalid.
Result<Options>
ParseOptions(int aArgc, const char* const* aArgv);

// Describes the options, one a line.
std::string
DescribeOptions();

} // namespace plantainhaven::ctl
