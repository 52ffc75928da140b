#include "plantainhaven/policy/config/configuration.h"
#include "policy/config/configuration_impl.h"

namespace plantainhaven {

namespace {

const google::protobuf::OneofDescriptor*
SpecOneof()
{
  return Resource::descriptor()->FindOneofByName("spec");
}

std::vector<std::string>
ReadKinds()
{
  std::vector<std::string> kinds;
  kinds.reserve(static_cast<std::size_t>(SpecOneof()->field_count()));
  for (int index = 0; index < SpecOneof()->field_count(); ++index) {
    kinds.push_back(SpecOneof()->field(index)->name());
  }
  return kinds;
}

} // namespace

std::string
KindOf(const Resource& aResource)
{
  const auto* field = Resource::GetReflection()->GetOneofFieldDescriptor(aResource, SpecOneof());
  return field == nullptr ? std::string{} : field->name();
}

std::string
StoredKindOf(const Resource& aResource)
{
  const std::string known = KindOf(aResource);
  return known.empty() ? aResource.kind() : known;
}

const std::vector<std::string>&
AllKinds()
{
  static const std::vector<std::string> kKinds = ReadKinds();
  return kKinds;
}

bool
IsTrafficKind(std::string_view aKind)
{
  return aKind != kClientBlockKind;
}

} // namespace plantainhaven
