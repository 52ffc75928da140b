#include "programs/plantainctl/output.h"

#include "api/answers.h"
#include "plantainhaven/policy/config/configuration.h"

#include <algorithm>
#include <cctype>

#include <google/protobuf/duration.pb.h>
#include <google/protobuf/text_format.h>

namespace plantainhaven::ctl {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

constexpr std::size_t kColumnGap = 2;

std::string
Capitals(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::toupper(aByte));
  });
  return aText;
}

// Removes the quotes around a JSON string.
std::string
Bare(const std::string& aJson)
{
  const bool quoted = aJson.size() >= 2 && aJson.front() == '"' && aJson.back() == '"';
  return quoted ? aJson.substr(1, aJson.size() - 2) : aJson;
}

std::string
MessageText(const Message& aMessage)
{
  if (const auto* weight = dynamic_cast<const TrafficPolicy::Weight*>(&aMessage)) {
    std::string percent = std::to_string(weight->percent());
    percent.erase(percent.find_last_not_of('0') + 1);
    percent.erase(percent.find_last_not_of('.') + 1);
    return weight->region() + '=' + percent;
  }
  return Bare(ToJson(aMessage));
}

// Text of one element of a repeated field, or of the field itself.
std::string
ElementText(const Message& aMessage, const FieldDescriptor& aField, int aIndex)
{
  const auto& reflect = *aMessage.GetReflection();
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
    return MessageText(aField.is_repeated() ? reflect.GetRepeatedMessage(aMessage, &aField, aIndex)
                                            : reflect.GetMessage(aMessage, &aField));
  }
  std::string text;
  google::protobuf::TextFormat::PrintFieldValueToString(
    aMessage, &aField, aField.is_repeated() ? aIndex : -1, &text);
  return Bare(text);
}

std::string
FieldText(const Message& aMessage, const FieldDescriptor& aField)
{
  const auto& reflect = *aMessage.GetReflection();
  if (!aField.is_repeated()) {
    const bool absent = aField.has_presence() && !reflect.HasField(aMessage, &aField);
    return absent ? "-" : ElementText(aMessage, aField, -1);
  }
  std::string text;
  for (int index = 0; index < reflect.FieldSize(aMessage, &aField); ++index) {
    text += (index == 0 ? "" : ",") + ElementText(aMessage, aField, index);
  }
  return text;
}

// The part of a resource that its kind defines.
const Message&
SpecOf(const Resource& aResource, const std::string& aKind)
{
  return Resource::GetReflection()->GetMessage(aResource,
                                               Resource::descriptor()->FindFieldByName(aKind));
}

std::string
Join(const google::protobuf::RepeatedPtrField<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined += (joined.empty() ? "" : ", ") + text;
  }
  return joined;
}

std::string
YesNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

} // namespace

Table::Table(std::vector<std::string> aHeadings)
{
  this->rows.push_back(std::move(aHeadings));
}

void
Table::Add(std::vector<std::string> aRow)
{
  this->rows.push_back(std::move(aRow));
}

std::string
Table::Text() const
{
  std::vector<std::size_t> widths(this->rows.front().size());
  for (const std::vector<std::string>& row : this->rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : this->rows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column] + std::string(widths[column] - row[column].size() + kColumnGap, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + '\n';
  }
  return text;
}

std::string
ResourceTable(const std::string& aKind, const ResourceList& aList)
{
  const auto& descriptor = *SpecOf(Resource(), aKind).GetDescriptor();
  std::vector<std::string> headings{ "NAME", "VERSION" };
  for (int index = 0; index < descriptor.field_count(); ++index) {
    headings.push_back(Capitals(descriptor.field(index)->name()));
  }
  Table table(headings);
  for (const Resource& resource : aList.resources()) {
    std::vector<std::string> row{ resource.name(), std::to_string(resource.version()) };
    for (int index = 0; index < descriptor.field_count(); ++index) {
      row.push_back(FieldText(SpecOf(resource, aKind), *descriptor.field(index)));
    }
    table.Add(std::move(row));
  }
  return table.Text();
}

std::string
ResourceText(const Resource& aResource)
{
  const std::string kind = KindOf(aResource);
  const Message& spec = SpecOf(aResource, kind);
  std::string text = kind + ' ' + aResource.name() + '\n';
  text += "  version: " + std::to_string(aResource.version()) + '\n';
  for (int index = 0; index < spec.GetDescriptor()->field_count(); ++index) {
    const FieldDescriptor& field = *spec.GetDescriptor()->field(index);
    text.append("  ").append(field.name()).append(": ").append(FieldText(spec, field)) += '\n';
  }
  return text;
}

std::string
OutcomeText(const WriteOutcome& aOutcome)
{
  std::string text = "revision " + std::to_string(aOutcome.revision());
  text += aOutcome.accepted() ? " accepted\n" : " committed, not yet accepted\n";
  if (!aOutcome.missing_vms().empty()) {
    text += "still missing: " + Join(aOutcome.missing_vms()) + '\n';
  }
  return text;
}

std::string
StatusText(const FleetStatus& aStatus)
{
  std::string text = "vm: " + aStatus.vm() + '\n';
  text += "applied revision: " + std::to_string(aStatus.applied_revision()) + '\n';
  text += "accepted revision: " + std::to_string(aStatus.accepted_revision()) + '\n';
  text += "view is fresh: " + YesNo(aStatus.fresh()) + '\n';
  text += "store is reachable: " + YesNo(aStatus.store_reachable()) + '\n';
  text += "voters: " + Join(aStatus.voters()) + "\n\n";
  Table table({ "VM", "REVISION", "FRESH", "ALIVE", "STATE" });
  for (const VmStatus& vm : aStatus.vms()) {
    table.Add({ vm.name(),
                std::to_string(vm.revision()),
                YesNo(vm.fresh()),
                YesNo(vm.alive()),
                vm.state() });
  }
  return text + table.Text();
}

} // namespace plantainhaven::ctl
