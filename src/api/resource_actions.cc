#include "api/resource_writer.h"

#include "api/answers.h"
#include "plantainhaven/common/digest.h"
#include "plantainhaven/policy/config/validation.h"

#include <chrono>
#include <utility>

namespace plantainhaven {

namespace {

// Characters of the random part of a key's name.
constexpr std::size_t kKeySuffixLength = 8;
// Longest wait for the change that issued a key to be seen here.
constexpr std::chrono::milliseconds kConfirmWait{ 2000 };
// How often a drain is tried again after another write came first.
constexpr int kDrainAttempts = 5;
// Longest wait for the write that came first to be seen here.
constexpr std::chrono::milliseconds kDrainWait{ 500 };

Error
AlreadyIssued(const std::string& aName)
{
  return { ErrorKind::kConflict,
           "this change id has already issued key \"" + aName + "\", which is shown once only",
           "withdraw that key if its answer was lost, then issue another with a new change id" };
}

Error
NotConfirmed(const std::string& aName)
{
  return { ErrorKind::kUnknown,
           "key \"" + aName + "\" was issued, but this VM can't tell whether by this call",
           "withdraw key " + aName + " if it exists, then issue another with a new change id" };
}

// Checks that a change put just this key, not one of an earlier call with its id.
Result<Done>
ConfirmKey(ResourceService& aService, Revision aRevision, const Resource& aKey)
{
  const auto changes = aService.ChangesAfter(aRevision - 1, kConfirmWait);
  const bool found = IsOk(changes) && !ValueOf(changes).empty() &&
                     ValueOf(changes).front().revision() == aRevision &&
                     ValueOf(changes).front().puts_size() == 1;
  if (!found) {
    return NotConfirmed(aKey.name());
  }
  const Resource& put = ValueOf(changes).front().puts(0);
  const bool same = put.name() == aKey.name() && put.key().digest() == aKey.key().digest();
  return same ? Result<Done>(Done{}) : AlreadyIssued(put.name());
}

} // namespace

HttpResponse
ResourceWriter::IssueKey(const Call& aCall)
{
  const Result<std::string> changeId = ChangeIdOf(aCall.request.headers);
  if (!IsOk(changeId)) {
    return ErrorResponse(ErrorOf(changeId));
  }
  Revision revision = 0;
  if (Result<Resource> account = this->Read("client_account", aCall.name, revision);
      !IsOk(account)) {
    return ErrorResponse(ErrorOf(account));
  }
  const std::string key = RandomKey();
  Write write{ ValueOf(changeId), {} };
  Resource& resource = *write.request.add_resources();
  resource.set_name(aCall.name + '.' + RandomId().substr(0, kKeySuffixLength));
  resource.set_version(kMustNotExist);
  resource.mutable_key()->set_client_account(aCall.name);
  resource.mutable_key()->set_digest(Sha256Hex(key));
  const Result<WriteOutcome> outcome = this->Commit(write);
  if (!IsOk(outcome)) {
    return this->AnswerError(write, ErrorOf(outcome));
  }
  const bool repeatable = aCall.request.headers.CountOf(kChangeIdHeader) != 0;
  const Result<Done> confirmed =
    repeatable ? ConfirmKey(this->service, ValueOf(outcome).revision(), resource) : Done{};
  if (!IsOk(confirmed)) {
    HttpResponse response = ErrorResponse(ErrorOf(confirmed));
    response.headers.Add(kChangeIdHeader, write.changeId);
    return response;
  }
  IssuedKey issued;
  issued.set_name(resource.name());
  issued.set_key(key);
  *issued.mutable_outcome() = ValueOf(outcome);
  HttpResponse response =
    MessageResponse(StatusOf(ValueOf(outcome)), issued, ValueOf(outcome).revision());
  response.headers.Add(kChangeIdHeader, write.changeId);
  response.headers.Add("Cache-Control", "no-store");
  return response;
}

HttpResponse
ResourceWriter::Drain(const Call& aCall)
{
  return this->SetDraining(aCall, true);
}

HttpResponse
ResourceWriter::Undrain(const Call& aCall)
{
  return this->SetDraining(aCall, false);
}

HttpResponse
ResourceWriter::SetDraining(const Call& aCall, bool aDraining)
{
  const Result<std::string> changeId = ChangeIdOf(aCall.request.headers);
  if (!IsOk(changeId)) {
    return ErrorResponse(ErrorOf(changeId));
  }
  for (int attempt = 1;; ++attempt) {
    Revision revision = 0;
    Result<Resource> current = this->Read("backend_server", aCall.name, revision);
    if (!IsOk(current)) {
      return ErrorResponse(ErrorOf(current));
    }
    Write write{ ValueOf(changeId), {} };
    Resource& server = *write.request.add_resources();
    server = std::move(ValueOf(current));
    server.mutable_backend_server()->set_draining(aDraining);
    const Result<WriteOutcome> outcome = this->Commit(write);
    const bool raced = !IsOk(outcome) && ErrorOf(outcome).kind == ErrorKind::kConflict;
    if (!raced || attempt == kDrainAttempts) {
      return this->Answer(write, outcome);
    }
    // The write that came first may not have arrived here yet.
    this->service.ChangesAfter(revision, kDrainWait);
  }
}

} // namespace plantainhaven
