#include "platform/json.h"

#include <google/protobuf/util/json_util.h>

namespace plantainhaven {

std::string
WriteJson(const google::protobuf::Message& aMessage, bool aWithDefaults)
{
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = aWithDefaults;
  std::string json;
  if (!google::protobuf::util::MessageToJsonString(aMessage, &json, options).ok()) {
    return "{}";
  }
  return json;
}

Result<Done>
ReadJson(const std::string& aJson, google::protobuf::Message& aMessage)
{
  const auto status = google::protobuf::util::JsonStringToMessage(aJson, &aMessage);
  if (status.ok()) {
    return Done{};
  }
  return Error{ ErrorKind::kInvalid,
                "expected JSON of " + aMessage.GetDescriptor()->name() +
                  ", got: " + std::string(status.message()),
                "write the fields as the schema names them" };
}

} // namespace plantainhaven
