#include "policy/config/field_rules.h"

#include "common/setting_value.h"
#include "policy/config/field_violation.h"

#include <functional>
#include <optional>

#include <google/protobuf/duration.pb.h>

#include "options.pb.h"

namespace plantainhaven {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr double kSecondsPerNanosecond = 1e-9;

// One value in a message: the element at `index` of a repeated field, or a singular field.
struct FieldValue
{
  const Message& message;
  const FieldDescriptor& field;
  const Rule& rule;
  std::string path;
  int index = 0;

  const Reflection& Reflect() const { return *this->message.GetReflection(); }
};

std::string
ReadString(const FieldValue& aValue)
{
  return aValue.field.is_repeated()
           ? aValue.Reflect().GetRepeatedString(aValue.message, &aValue.field, aValue.index)
           : aValue.Reflect().GetString(aValue.message, &aValue.field);
}

const Message&
ReadMessage(const FieldValue& aValue)
{
  return aValue.field.is_repeated()
           ? aValue.Reflect().GetRepeatedMessage(aValue.message, &aValue.field, aValue.index)
           : aValue.Reflect().GetMessage(aValue.message, &aValue.field);
}

double
SecondsOf(const Message& aMessage)
{
  const auto& duration = static_cast<const google::protobuf::Duration&>(aMessage);
  return static_cast<double>(duration.seconds()) + duration.nanos() * kSecondsPerNanosecond;
}

// Returns the number that a range rule applies to, for a duration its seconds; nothing for
// other types.
std::optional<double>
ReadNumber(const FieldValue& aValue)
{
  const Reflection& reflect = aValue.Reflect();
  switch (aValue.field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return reflect.GetDouble(aValue.message, &aValue.field);
    case FieldDescriptor::CPPTYPE_UINT32:
      return reflect.GetUInt32(aValue.message, &aValue.field);
    case FieldDescriptor::CPPTYPE_UINT64:
      return static_cast<double>(reflect.GetUInt64(aValue.message, &aValue.field));
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return IsDuration(aValue.field) ? std::optional(SecondsOf(ReadMessage(aValue)))
                                      : std::nullopt;
    default:
      return std::nullopt;
  }
}

// Returns true if a singular field isn't set or a repeated field has no elements.
bool
IsEmpty(const Message& aMessage, const FieldDescriptor& aField)
{
  const Reflection& reflect = *aMessage.GetReflection();
  return aField.is_repeated() ? reflect.FieldSize(aMessage, &aField) == 0
                              : !reflect.HasField(aMessage, &aField);
}

std::optional<FieldViolation>
CheckRequired(const FieldValue& aValue)
{
  const bool empty = IsEmpty(aValue.message, aValue.field);
  const bool emptyElement = !empty && aValue.field.cpp_type() == FieldDescriptor::CPPTYPE_STRING &&
                            ReadString(aValue).empty();
  if (!aValue.rule.required() || !(empty || emptyElement)) {
    return std::nullopt;
  }
  return FieldViolation{ aValue.path, "missing", "a value", "set it: " + aValue.rule.help() };
}

std::optional<FieldViolation>
CheckRange(const FieldValue& aValue)
{
  const std::optional<double> number = ReadNumber(aValue);
  const Rule& rule = aValue.rule;
  // The comparisons are written so that NaN is out of range.
  const bool inRange = number && *number >= rule.min() && *number <= rule.max();
  if (!rule.has_range() || !number || inRange) {
    return std::nullopt;
  }
  const std::string unit = rule.unit().empty() ? "" : " " + rule.unit();
  return FieldViolation{ aValue.path,
                         FormatNumber(*number) + unit,
                         FormatNumber(rule.min()) + " to " + FormatNumber(rule.max()) + unit,
                         "choose a value in this range: " + rule.help() };
}

void
Walk(const Message& aMessage,
     const std::string& aPath,
     const std::function<void(const FieldValue&)>& aVisit);

// Visits a singular field once, a repeated field once per element or once if it has none,
// and the fields of the messages in it.
void
WalkField(const Message& aMessage,
          const FieldDescriptor& aField,
          const std::string& aPath,
          const std::function<void(const FieldValue&)>& aVisit)
{
  const Rule& fieldRule = RuleOf(aField);
  const int size =
    aField.is_repeated() ? aMessage.GetReflection()->FieldSize(aMessage, &aField) : 1;
  if (size == 0) {
    aVisit({ aMessage, aField, fieldRule, aPath });
  }
  for (int index = 0; index < size; ++index) {
    const std::string path =
      aField.is_repeated() ? aPath + '[' + std::to_string(index) + ']' : aPath;
    const FieldValue value{ aMessage, aField, fieldRule, path, index };
    aVisit(value);
    if (aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE && !IsDuration(aField)) {
      Walk(ReadMessage(value), path, aVisit);
    }
  }
}

void
Walk(const Message& aMessage,
     const std::string& aPath,
     const std::function<void(const FieldValue&)>& aVisit)
{
  const Descriptor& descriptor = *aMessage.GetDescriptor();
  for (int index = 0; index < descriptor.field_count(); ++index) {
    const FieldDescriptor& field = *descriptor.field(index);
    WalkField(aMessage, field, aPath + '.' + field.name(), aVisit);
  }
}

// Visits all fields of a resource's spec.
void
WalkSpec(const Resource& aResource, const std::function<void(const FieldValue&)>& aVisit)
{
  const std::string kind = KindOf(aResource);
  const FieldDescriptor* spec = Resource::descriptor()->FindFieldByName(kind);
  Walk(Resource::GetReflection()->GetMessage(aResource, spec), kind, aVisit);
}

std::optional<FieldViolation>
CheckReference(const Reference& aReference, const WriteView& aView)
{
  if (aView.Exists(aReference.kind, aReference.name)) {
    return std::nullopt;
  }
  return FieldViolation{ aReference.field,
                         Quote(aReference.name),
                         "the name of an existing " + aReference.kind,
                         "create it first or in the same write, or name one of: " +
                           aView.NamesOf(aReference.kind) };
}

} // namespace

std::vector<Reference>
ReferencesOf(const Resource& aResource)
{
  std::vector<Reference> references;
  WalkSpec(aResource, [&](const FieldValue& aValue) {
    if (!aValue.rule.refers_to().empty() && !IsEmpty(aValue.message, aValue.field)) {
      references.push_back({ aValue.path, aValue.rule.refers_to(), ReadString(aValue) });
    }
  });
  return references;
}

Result<Done>
CheckFieldRules(const Resource& aResource, const WriteView& aView)
{
  std::optional<FieldViolation> violation;
  WalkSpec(aResource, [&](const FieldValue& aValue) {
    violation = violation ? violation : CheckRequired(aValue);
    violation = violation ? violation : CheckRange(aValue);
  });
  for (const Reference& reference : ReferencesOf(aResource)) {
    violation = violation ? violation : CheckReference(reference, aView);
  }
  return violation ? Result<Done>(InvalidResource(aResource, *violation)) : Result<Done>(Done{});
}

} // namespace plantainhaven
