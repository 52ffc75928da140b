#include "programs/plantainctl/exit_codes.h"

#include <array>

namespace plantainhaven::ctl {

namespace {

struct StatusExit
{
  int status;
  ExitCode code;
};

constexpr std::array kStatusExits{
  StatusExit{ 200, ExitCode::kOk },          StatusExit{ 202, ExitCode::kNotYetAccepted },
  StatusExit{ 400, ExitCode::kInvalid },     StatusExit{ 404, ExitCode::kNotFound },
  StatusExit{ 409, ExitCode::kConflict },    StatusExit{ 413, ExitCode::kInvalid },
  StatusExit{ 503, ExitCode::kUnavailable }, StatusExit{ 504, ExitCode::kUnknownOutcome },
};

struct KindExit
{
  ErrorKind kind;
  ExitCode code;
};

constexpr std::array kKindExits{
  KindExit{ ErrorKind::kInvalid, ExitCode::kInvalid },
  KindExit{ ErrorKind::kNotFound, ExitCode::kNotFound },
  KindExit{ ErrorKind::kConflict, ExitCode::kConflict },
  KindExit{ ErrorKind::kUnavailable, ExitCode::kUnavailable },
  KindExit{ ErrorKind::kUnknown, ExitCode::kUnknownOutcome },
};

struct ExitMeaning
{
  ExitCode code;
  const char* meaning;
};

constexpr std::array kMeanings{
  ExitMeaning{ ExitCode::kOk, "done; a write is accepted" },
  ExitMeaning{ ExitCode::kFailure, "another failure, for example a wrong token" },
  ExitMeaning{ ExitCode::kUsage, "wrong command line" },
  ExitMeaning{ ExitCode::kConflict, "conflict: somebody else changed it first, nothing was done" },
  ExitMeaning{ ExitCode::kNotFound, "not found" },
  ExitMeaning{ ExitCode::kNotYetAccepted, "committed but not yet accepted" },
  ExitMeaning{ ExitCode::kUnavailable, "no server could serve it, nothing was done" },
  ExitMeaning{ ExitCode::kUnknownOutcome, "a write whose outcome is unknown" },
  ExitMeaning{ ExitCode::kInvalid, "invalid resources, nothing was done" },
};

} // namespace

ExitCode
ExitCodeOf(int aStatus)
{
  for (const StatusExit& entry : kStatusExits) {
    if (entry.status == aStatus) {
      return entry.code;
    }
  }
  return ExitCode::kFailure;
}

ExitCode
ExitCodeOf(ErrorKind aKind)
{
  for (const KindExit& entry : kKindExits) {
    if (entry.kind == aKind) {
      return entry.code;
    }
  }
  return ExitCode::kFailure;
}

std::string
DescribeExitCodes()
{
  std::string text;
  for (const ExitMeaning& entry : kMeanings) {
    text += "  " + std::to_string(static_cast<int>(entry.code)) + "  " + entry.meaning + '\n';
  }
  return text;
}

} // namespace plantainhaven::ctl
