#pragma once

#include "plantainhaven/entry/budget_gate.h"
#include "plantainhaven/policy/request/link_meter.h"
#include "plantainhaven/policy/request/request_tables.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace plantainhaven {

// Charges the links between regions for requests and answers. Safe for several threads.
class LinkCharges
{
public:
  // `aBudgets` must outlive this.
  LinkCharges(std::string aOwnRegion, BudgetGate& aBudgets);

  // What was charged for one request in one region; zero where no link is limited.
  struct Charged
  {
    std::string service;
    std::string region;
    bool thereLimited = false;
    bool backLimited = false;
    std::int64_t requestBytes = 0;
    std::int64_t answerBytes = 0;
  };

  // Charges the way there for `aRequestBytes` and the way back for the usual answer. The
  // refusal when a link is full; nothing is charged then. The own region costs nothing.
  std::variant<Charged, AcquireResult> Charge(const RequestTables& aTables,
                                              const std::string& aService,
                                              const std::string& aRegion,
                                              std::int64_t aRequestBytes);
  // Settles what was charged with what was really sent and received. Call once for each
  // Charged.
  void Settle(const Charged& aCharged, std::int64_t aSentBytes, std::int64_t aAnswerBytes);

private:
  std::int64_t UsualAnswer(const std::string& aService);
  std::optional<AcquireResult> Take(const LinkDirection& aLink, std::int64_t aBytes);

  std::string ownRegion;
  BudgetGate& budgets;
  std::mutex mutex;
  LinkMeter meter;
};

} // namespace plantainhaven
