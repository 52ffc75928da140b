#include "entry/claim_rows.h"

#include "plantainhaven/common/digest.h"

#include "claim.pb.h"

namespace plantainhaven {

namespace {

using Row = plantainhaven::Claim;

// Larger bodies aren't kept for repeated requests.
constexpr std::size_t kLargestKeptBody = 16 << 10;
// Names of accounts have no '@', so this stands for no account.
constexpr char kNoAccount[] = "@open";

// Lengths keep the parts apart.
std::string
Fingerprint(const ClaimRequest& aRequest)
{
  std::string text;
  for (const std::string* part : { &aRequest.method, &aRequest.target, &aRequest.body }) {
    text += std::to_string(part->size()) + ":" + *part;
  }
  return Sha256Hex(text);
}

Row
NewRow(const ClaimRequest& aRequest, const std::string& aVm)
{
  Row row;
  row.set_request_id(aRequest.requestId);
  row.set_vm(aVm);
  row.set_fingerprint(Fingerprint(aRequest));
  return row;
}

Row
FinishedRow(const ClaimRequest& aRequest, const std::string& aVm, const HttpResponse& aAnswer)
{
  Row row = NewRow(aRequest, aVm);
  row.set_finished(true);
  row.set_status(static_cast<std::uint32_t>(aAnswer.status));
  row.set_body_kept(aAnswer.body.size() <= kLargestKeptBody);
  if (!row.body_kept()) {
    return row;
  }
  row.set_body(aAnswer.body);
  for (const HttpHeader& header : aAnswer.headers.All()) {
    ClaimHeader* kept = row.add_headers();
    kept->set_name(header.name);
    kept->set_value(header.value);
  }
  return row;
}

HttpResponse
KeptAnswer(const Row& aRow)
{
  HttpResponse answer;
  answer.status = static_cast<int>(aRow.status());
  answer.body = aRow.body();
  for (const ClaimHeader& header : aRow.headers()) {
    answer.headers.Add(header.name(), header.value());
  }
  return answer;
}

} // namespace

std::string
ClaimKey(const ClaimRequest& aRequest)
{
  const std::string account = aRequest.account.empty() ? kNoAccount : aRequest.account;
  return "claim/" + account + "/" + Sha256Hex(aRequest.idempotencyKey);
}

std::string
OpenClaimRow(const ClaimRequest& aRequest, const std::string& aVm)
{
  return NewRow(aRequest, aVm).SerializeAsString();
}

std::string
FinishedClaimRow(const ClaimRequest& aRequest, const std::string& aVm, const HttpResponse& aAnswer)
{
  return FinishedRow(aRequest, aVm, aAnswer).SerializeAsString();
}

ClaimResult
JudgeClaimRow(const std::string& aRow, const ClaimRequest& aRequest)
{
  Row row;
  if (!row.ParseFromString(aRow)) {
    return { ClaimResult::Kind::kInProgress };
  }
  if (row.request_id() == aRequest.requestId) {
    return { ClaimResult::Kind::kMine };
  }
  if (row.fingerprint() != Fingerprint(aRequest)) {
    return { ClaimResult::Kind::kMismatch };
  }
  if (!row.finished()) {
    return { ClaimResult::Kind::kInProgress };
  }
  if (!row.body_kept()) {
    return { ClaimResult::Kind::kAnswerNotKept };
  }
  return { ClaimResult::Kind::kFinished, KeptAnswer(row) };
}

bool
IsHeldBy(const std::string& aRow, const std::string& aRequestId)
{
  Row row;
  return row.ParseFromString(aRow) && row.request_id() == aRequestId;
}

} // namespace plantainhaven
