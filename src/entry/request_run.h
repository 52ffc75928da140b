#pragma once

#include "entry/budget_waits.h"
#include "plantainhaven/entry/request_handler.h"
#include "plantainhaven/policy/request/refusal.h"

#include <optional>
#include <string>
#include <vector>

namespace plantainhaven {

// One request on its way through the handler, from arrival to answer.
class RequestRun
{
public:
  RequestRun(const RequestHandlerOptions& aOptions,
             const RequestServices& aServices,
             BudgetWaits& aWaits,
             const HttpRequest& aRequest,
             std::string aRequestId);

  // The final answer.
  HttpResponse Run();

private:
  // A step of admission: a reason ends the request.
  using Step = std::optional<RefusalReason> (RequestRun::*)();

  // --- Admission, in this order (request_run.cc) -----------------------------
  std::optional<RefusalReason> Screen();
  std::optional<RefusalReason> CheckView();
  std::optional<RefusalReason> FindRoute();
  std::optional<RefusalReason> Authenticate();
  std::optional<RefusalReason> ScanForKeys();
  std::optional<RefusalReason> PrepareHeaders();
  std::optional<RefusalReason> AdmitAccount();
  std::optional<RefusalReason> PlanRegions();
  std::optional<RefusalReason> TakeClaim();

  // --- Attempts (attempts.cc) ------------------------------------------------
  std::optional<RefusalReason> MakeAttempts();
  std::optional<RefusalReason> EnterRegion();
  std::optional<RefusalReason> TakeRegion(const std::string& aRegion, bool aLast);
  std::optional<RefusalReason> ChargeLink(const std::string& aRegion);
  void SettleLink();
  std::int64_t RequestBytes() const;
  std::shared_ptr<const ServerEntry> ChooseServer();
  AttemptEnd Attempt(const ServerEntry& aServer);
  AttemptEnd Exchange(const ServerEntry& aServer, ConnectionPointer aConnection);
  std::chrono::milliseconds LongestWait(const ServerEntry& aServer,
                                        const PooledConnection& aConnection,
                                        std::chrono::milliseconds aLeft) const;
  AttemptEnd Judge(const ServerEntry& aServer, HttpResponse& aResponse);
  std::optional<RefusalReason> CheckBeforeSending(const ServerEntry& aServer) const;
  void TakeAnswer(const ServerEntry& aServer, HttpResponse aResponse);
  bool MayTryAgain(AttemptEnd aEnd);
  std::chrono::nanoseconds TimeLeft() const;

  // --- End (request_run.cc) --------------------------------------------------
  HttpResponse Refuse(RefusalReason aReason);

  const RequestHandlerOptions& options;
  const RequestServices& services;
  BudgetWaits& waits;
  const HttpRequest& request;
  std::string requestId;
  BootTime arrivedAt;
  BootTime deadline{};

  std::string path;
  std::shared_ptr<const RequestTables> tables;
  const RouteEntry* route = nullptr;
  const ServiceEntry* service = nullptr;
  std::string key;
  std::string keyDigest;
  std::string account;
  std::vector<HttpHeader> headers;
  std::optional<ClaimRequest> claim;
  std::chrono::nanoseconds retryAfter{ 0 };

  RegionPlan plan;
  std::size_t nextRegion = 0;
  std::string region;
  // Why the region tried last couldn't be entered.
  RefusalReason regionRefusal = RefusalReason::kNoServer;
  HeldToken slot;
  // What the present region was charged, and what went over the link since.
  std::optional<LinkCharges::Charged> charged;
  std::int64_t sentBytes = 0;
  std::int64_t answerBytes = 0;
  AvoidedTargets avoided;
  std::uint32_t attempts = 0;
  // True once a byte of the request may have reached a server that didn't say that
  // it refused it.
  bool mayHaveRun = false;
  // Set when the view no longer allowed to send.
  std::optional<RefusalReason> barred;
  std::optional<HttpResponse> answer;
};

} // namespace plantainhaven
