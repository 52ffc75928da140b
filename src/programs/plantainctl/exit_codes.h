#pragma once

#include "plantainhaven/common/result.h"

#include <string>

namespace plantainhaven::ctl {

// Exit statuses of plantainctl; --help lists them.
enum class ExitCode
{
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kConflict = 3,
  kNotFound = 4,
  kNotYetAccepted = 5,
  kUnavailable = 6,
  kUnknownOutcome = 7,
  kInvalid = 8,
};

// Exit status for an answer's HTTP status.
ExitCode
ExitCodeOf(int aStatus);

// Exit status for an error that this program met itself.
ExitCode
ExitCodeOf(ErrorKind aKind);

// One line for each exit status and its meaning.
std::string
DescribeExitCodes();

} // namespace plantainhaven::ctl
