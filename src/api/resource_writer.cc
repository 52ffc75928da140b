#include "api/resource_writer.h"

#include "api/answers.h"
#include "plantainhaven/policy/config/validation.h"

#include <utility>

namespace plantainhaven {

namespace {

// Checks that the body is the resource that the path names; fills in its name.
Result<Done>
MatchPath(const Call& aCall, Resource& aResource)
{
  if (aResource.name().empty()) {
    aResource.set_name(aCall.name);
  }
  if (aResource.name() != aCall.name) {
    return Error{ ErrorKind::kInvalid,
                  "name is \"" + aResource.name() + "\", expected \"" + aCall.name +
                    "\" as in the path",
                  "leave the name out of the body, or make the two agree",
                  "name" };
  }
  const std::string kind = KindOf(aResource);
  if (kind != aCall.kind) {
    return Error{ ErrorKind::kInvalid,
                  "the body's kind is \"" + kind + "\", expected \"" + aCall.kind +
                    "\" as in the path",
                  "put the fields in an object named \"" + aCall.kind + '"',
                  aCall.kind };
  }
  return Done{};
}

// Brings together the versions that header and body demand.
Result<Done>
StateVersion(const Call& aCall, Resource& aResource)
{
  const Result<Revision> demanded = DemandedVersion(aCall.request.headers);
  if (!IsOk(demanded)) {
    return ErrorOf(demanded);
  }
  const Revision version = ValueOf(demanded);
  if (version != 0 && aResource.version() != 0 && version != aResource.version()) {
    return Error{ ErrorKind::kInvalid,
                  "version is " + std::to_string(aResource.version()) +
                    " in the body but the headers demand another",
                  "state the version in one of the two only",
                  "version" };
  }
  if (version != 0) {
    aResource.set_version(version);
  }
  return Done{};
}

} // namespace

Result<WriteOutcome>
ResourceWriter::Commit(const Write& aWrite)
{
  return this->service.Write(aWrite.request, aWrite.deleteVersions, aWrite.changeId);
}

Result<Resource>
ResourceWriter::Read(const std::string& aKind, const std::string& aName, Revision& aRevision)
{
  Result<Resource> found = Error{};
  this->service.Read([&](const Configuration& aConfiguration) {
    found = aConfiguration.Get(aKind, aName);
    aRevision = aConfiguration.AppliedRevision();
  });
  return found;
}

// The first resource of a write whose version isn't the stated one.
Result<Resource>
ResourceWriter::FindConflict(const Write& aWrite)
{
  Result<Resource> found = Error{};
  const auto check = [&](const Configuration& aConfiguration,
                         const std::string& aKind,
                         const std::string& aName,
                         Revision aStated) {
    const Result<Resource> current = aConfiguration.Get(aKind, aName);
    if (!IsOk(found) && IsOk(current) && aStated != 0 && ValueOf(current).version() != aStated) {
      found = current;
    }
  };
  this->service.Read([&](const Configuration& aConfiguration) {
    for (const Resource& resource : aWrite.request.resources()) {
      check(aConfiguration, KindOf(resource), resource.name(), resource.version());
    }
    for (std::size_t index = 0; index < aWrite.deleteVersions.size(); ++index) {
      const ResourceId& id = aWrite.request.deletes(static_cast<int>(index));
      check(aConfiguration, id.kind(), id.name(), aWrite.deleteVersions[index]);
    }
  });
  return found;
}

HttpResponse
ResourceWriter::AnswerError(const Write& aWrite, Error aError)
{
  if (aError.kind == ErrorKind::kUnknown || aError.kind == ErrorKind::kTimeout) {
    aError.message += " (change id " + aWrite.changeId + ")";
    aError.remedy = "repeat the same write with the header " + std::string(kChangeIdHeader) + ": " +
                    aWrite.changeId + "; it takes effect at most once";
  }
  const bool conflict = aError.kind == ErrorKind::kConflict;
  const Result<Resource> current = conflict ? this->FindConflict(aWrite) : Error{};
  HttpResponse response = ErrorResponse(aError, IsOk(current) ? &ValueOf(current) : nullptr);
  response.headers.Add(kChangeIdHeader, aWrite.changeId);
  return response;
}

HttpResponse
ResourceWriter::Answer(const Write& aWrite, const Result<WriteOutcome>& aOutcome)
{
  if (!IsOk(aOutcome)) {
    return this->AnswerError(aWrite, ErrorOf(aOutcome));
  }
  const WriteOutcome& outcome = ValueOf(aOutcome);
  HttpResponse response = MessageResponse(StatusOf(outcome), outcome, outcome.revision());
  response.headers.Add(kChangeIdHeader, aWrite.changeId);
  return response;
}

HttpResponse
ResourceWriter::CommitAndAnswer(const Write& aWrite)
{
  return this->Answer(aWrite, this->Commit(aWrite));
}

HttpResponse
ResourceWriter::Put(const Call& aCall)
{
  const Result<std::string> changeId = ChangeIdOf(aCall.request.headers);
  if (!IsOk(changeId)) {
    return ErrorResponse(ErrorOf(changeId));
  }
  Write write{ ValueOf(changeId), {} };
  Resource& resource = *write.request.add_resources();
  if (Result<Done> read = FromJson(aCall.request.body, resource); !IsOk(read)) {
    return ErrorResponse(ErrorOf(read));
  }
  if (Result<Done> matched = MatchPath(aCall, resource); !IsOk(matched)) {
    return ErrorResponse(ErrorOf(matched));
  }
  if (Result<Done> stated = StateVersion(aCall, resource); !IsOk(stated)) {
    return ErrorResponse(ErrorOf(stated));
  }
  return this->CommitAndAnswer(write);
}

HttpResponse
ResourceWriter::Delete(const Call& aCall)
{
  const Result<std::string> changeId = ChangeIdOf(aCall.request.headers);
  if (!IsOk(changeId)) {
    return ErrorResponse(ErrorOf(changeId));
  }
  const Result<Revision> version = DemandedVersion(aCall.request.headers);
  if (!IsOk(version)) {
    return ErrorResponse(ErrorOf(version));
  }
  Write write{ ValueOf(changeId), {}, { ValueOf(version) } };
  ResourceId& id = *write.request.add_deletes();
  id.set_kind(aCall.kind);
  id.set_name(aCall.name);
  return this->CommitAndAnswer(write);
}

HttpResponse
ResourceWriter::Apply(const Call& aCall)
{
  const Result<std::string> changeId = ChangeIdOf(aCall.request.headers);
  if (!IsOk(changeId)) {
    return ErrorResponse(ErrorOf(changeId));
  }
  Write write{ ValueOf(changeId), {} };
  if (Result<Done> read = FromJson(aCall.request.body, write.request); !IsOk(read)) {
    return ErrorResponse(ErrorOf(read));
  }
  if (write.request.resources().empty() && write.request.deletes().empty()) {
    return ErrorResponse({ ErrorKind::kInvalid,
                           "resources and deletes are empty, expected at least one of them",
                           "list the resources to write",
                           "resources" });
  }
  write.deleteVersions.resize(static_cast<std::size_t>(write.request.deletes_size()));
  return this->CommitAndAnswer(write);
}

} // namespace plantainhaven
