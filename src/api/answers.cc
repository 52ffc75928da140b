#include "api/answers.h"

#include <array>

#include <google/protobuf/util/json_util.h>

#include "resources.pb.h"

namespace plantainhaven {

namespace {

constexpr int kOkStatus = 200;
constexpr int kNotYetAcceptedStatus = 202;
constexpr int kInternalStatus = 500;

struct KindStatus
{
  ErrorKind kind;
  int status;
};

constexpr std::array kKindStatuses{
  KindStatus{ ErrorKind::kInvalid, 400 },     KindStatus{ ErrorKind::kRefused, 401 },
  KindStatus{ ErrorKind::kNotFound, 404 },    KindStatus{ ErrorKind::kConflict, 409 },
  KindStatus{ ErrorKind::kUnavailable, 503 }, KindStatus{ ErrorKind::kUnknown, 504 },
  KindStatus{ ErrorKind::kTimeout, 504 },     KindStatus{ ErrorKind::kInternal, kInternalStatus },
};

// Finds the field in the library's message "(PARENT) FIELD: Cannot find field.".
std::string
UnknownFieldOf(const std::string& aMessage)
{
  const std::size_t end = aMessage.find(": Cannot find field");
  if (end == std::string::npos) {
    return {};
  }
  const std::size_t blank = aMessage.rfind(' ', end);
  const std::size_t begin = blank == std::string::npos ? 0 : blank + 1;
  return aMessage.substr(begin, end - begin);
}

ErrorAnswer
MakeErrorAnswer(const Error& aError)
{
  ErrorAnswer answer;
  answer.set_error(ToString(aError.kind));
  answer.set_message(aError.message);
  answer.set_remedy(aError.remedy);
  answer.set_field(aError.field);
  return answer;
}

} // namespace

std::string
ToJson(const google::protobuf::Message& aMessage)
{
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string json;
  // Printing fails for durations out of range only, which validation keeps out.
  const auto status = google::protobuf::util::MessageToJsonString(aMessage, &json, options);
  return status.ok() ? json : "{}";
}

Result<Done>
FromJson(const std::string& aJson, google::protobuf::Message& aMessage)
{
  const auto status = google::protobuf::util::JsonStringToMessage(aJson, &aMessage);
  if (status.ok()) {
    return Done{};
  }
  const std::string problem(status.message());
  return Error{ ErrorKind::kInvalid,
                "the body isn't a " + aMessage.GetDescriptor()->name() + " in JSON: " + problem,
                "correct the JSON; the reference page lists every kind's fields",
                UnknownFieldOf(problem) };
}

int
StatusOf(ErrorKind aKind)
{
  for (const KindStatus& entry : kKindStatuses) {
    if (entry.kind == aKind) {
      return entry.status;
    }
  }
  return kInternalStatus;
}

int
StatusOf(const WriteOutcome& aOutcome)
{
  return aOutcome.accepted() ? kOkStatus : kNotYetAcceptedStatus;
}

HttpResponse
ErrorResponse(const Error& aError, const Resource* aCurrent)
{
  ErrorAnswer answer = MakeErrorAnswer(aError);
  if (aCurrent != nullptr) {
    *answer.mutable_current() = *aCurrent;
  }
  return JsonResponse(StatusOf(aError.kind), ToJson(answer));
}

HttpResponse
ErrorResponse(int aStatus, const Error& aError)
{
  return JsonResponse(aStatus, ToJson(MakeErrorAnswer(aError)));
}

HttpResponse
MessageResponse(int aStatus, const google::protobuf::Message& aMessage, Revision aRevision)
{
  HttpResponse response = JsonResponse(aStatus, ToJson(aMessage));
  response.headers.Add(kRevisionHeader, std::to_string(aRevision));
  return response;
}

} // namespace plantainhaven
