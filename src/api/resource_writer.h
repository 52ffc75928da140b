#pragma once

#include "api/call.h"
#include "plantainhaven/api/resource_service.h"

#include <string>

namespace plantainhaven {

// Answers the calls that change resources.
class ResourceWriter
{
public:
  explicit ResourceWriter(ResourceService& aService)
    : service(aService)
  {
  }

  // PUT /v1/KIND/NAME
  HttpResponse Put(const Call& aCall);
  // DELETE /v1/KIND/NAME
  HttpResponse Delete(const Call& aCall);
  // POST /v1/apply
  HttpResponse Apply(const Call& aCall);
  // POST /v1/client_account/NAME/keys
  HttpResponse IssueKey(const Call& aCall);
  // POST /v1/backend_server/NAME/drain and /undrain
  HttpResponse Drain(const Call& aCall);
  HttpResponse Undrain(const Call& aCall);

private:
  // A set of writes with all that its answer needs.
  struct Write
  {
    std::string changeId;
    ApplyRequest request;
    std::vector<Revision> deleteVersions = {};
  };

  Result<WriteOutcome> Commit(const Write& aWrite);
  HttpResponse Answer(const Write& aWrite, const Result<WriteOutcome>& aOutcome);
  HttpResponse AnswerError(const Write& aWrite, Error aError);
  HttpResponse CommitAndAnswer(const Write& aWrite);
  HttpResponse SetDraining(const Call& aCall, bool aDraining);
  Result<Resource> Read(const std::string& aKind, const std::string& aName, Revision& aRevision);
  Result<Resource> FindConflict(const Write& aWrite);

  ResourceService& service;
};

} // namespace plantainhaven
