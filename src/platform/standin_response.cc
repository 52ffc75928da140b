#include "platform/standin_response.h"

#include "platform/json.h"

#include "platform.pb.h"

namespace plantainhaven {

namespace {

struct KindStatus
{
  ErrorKind kind;
  int status;
};

constexpr KindStatus kKindStatuses[] = {
  { ErrorKind::kInvalid, 400 },
  { ErrorKind::kNotFound, 404 },
  { ErrorKind::kUnavailable, 503 },
};
constexpr int kInternalError = 500;

int
StatusOf(ErrorKind aKind)
{
  for (const KindStatus& entry : kKindStatuses) {
    if (entry.kind == aKind) {
      return entry.status;
    }
  }
  return kInternalError;
}

} // namespace

HttpResponse
MessageResponse(const google::protobuf::Message& aMessage, int aStatus)
{
  return JsonResponse(aStatus, WriteJson(aMessage, true));
}

HttpResponse
ErrorResponse(const Error& aError)
{
  PlatformError detail;
  detail.set_message(aError.message);
  detail.set_remedy(aError.remedy);
  return MessageResponse(detail, StatusOf(aError.kind));
}

HttpResponse
NoResponse()
{
  HttpResponse response;
  response.close = true;
  response.source = [](std::string&, bool& aAbort) {
    aAbort = true;
    return false;
  };
  return response;
}

} // namespace plantainhaven
