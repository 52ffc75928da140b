#include "plantainhaven/api/client.h"

#include "api/answers.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

namespace plantainhaven {

namespace {

// The text as an ApplyRequest, whichever of the three forms it has.
std::string
AsApplyRequest(const std::string& aText)
{
  const std::size_t first = aText.find_first_not_of(" \t\r\n");
  if (first != std::string::npos && aText[first] == '[') {
    return R"({"resources":)" + aText + '}';
  }
  google::protobuf::Struct object;
  const bool parsed = google::protobuf::util::JsonStringToMessage(aText, &object).ok();
  const bool isRequest =
    object.fields().count("resources") != 0 || object.fields().count("deletes") != 0;
  return !parsed || isRequest ? aText : R"({"resources":[)" + aText + "]}";
}

} // namespace

Result<ApplyRequest>
ParseResourceFile(const std::string& aFileName, const std::string& aText)
{
  ApplyRequest request;
  if (Result<Done> read = FromJson(AsApplyRequest(aText), request); !IsOk(read)) {
    Error error = ErrorOf(read);
    error.message = aFileName + ": " + error.message;
    return error;
  }
  if (request.resources().empty() && request.deletes().empty()) {
    return Error{ ErrorKind::kInvalid,
                  aFileName + ": holds no resource, expected at least one",
                  "write one resource, an array of them, or {\"resources\": [...]}" };
  }
  return request;
}

} // namespace plantainhaven
