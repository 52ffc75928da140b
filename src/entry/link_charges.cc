#include "plantainhaven/entry/link_charges.h"

#include <utility>

namespace plantainhaven {

LinkCharges::LinkCharges(std::string aOwnRegion, BudgetGate& aBudgets)
  : ownRegion(std::move(aOwnRegion))
  , budgets(aBudgets)
{
}

// The refusal, or nothing when it was charged.
std::optional<AcquireResult>
LinkCharges::Take(const LinkDirection& aLink, std::int64_t aBytes)
{
  std::int64_t whole = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    whole = this->meter.Charge(aLink, aBytes);
  }
  if (whole == 0) {
    return std::nullopt;
  }
  const AcquireResult taken = this->budgets.Take(
    LinkBudget(aLink.from, aLink.to, 0).id, whole * kOneToken, std::chrono::nanoseconds(0));
  if (taken.Acquired()) {
    return std::nullopt;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->meter.AddEstimateError(aLink, whole - aBytes);
  return taken;
}

std::variant<LinkCharges::Charged, AcquireResult>
LinkCharges::Charge(const RequestTables& aTables,
                    const std::string& aService,
                    const std::string& aRegion,
                    std::int64_t aRequestBytes)
{
  Charged charged{ aService, aRegion };
  if (aRegion == this->ownRegion) {
    return charged;
  }
  if (aTables.HasLink(this->ownRegion, aRegion)) {
    if (const auto refused = this->Take({ this->ownRegion, aRegion }, aRequestBytes)) {
      return *refused;
    }
    charged.thereLimited = true;
    charged.requestBytes = aRequestBytes;
  }
  if (!aTables.HasLink(aRegion, this->ownRegion)) {
    return charged;
  }
  const std::int64_t usual = this->UsualAnswer(aService);
  if (const auto refused = this->Take({ aRegion, this->ownRegion }, usual)) {
    this->Settle(charged, 0, 0);
    return *refused;
  }
  charged.backLimited = true;
  charged.answerBytes = usual;
  return charged;
}

std::int64_t
LinkCharges::UsualAnswer(const std::string& aService)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->meter.EstimateResponseBytes(aService);
}

void
LinkCharges::Settle(const Charged& aCharged, std::int64_t aSentBytes, std::int64_t aAnswerBytes)
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (aAnswerBytes > 0) {
    this->meter.OnResponse(aCharged.service, aAnswerBytes);
  }
  if (aCharged.thereLimited) {
    this->meter.AddEstimateError({ this->ownRegion, aCharged.region },
                                 aSentBytes - aCharged.requestBytes);
  }
  if (aCharged.backLimited) {
    this->meter.AddEstimateError({ aCharged.region, this->ownRegion },
                                 aAnswerBytes - aCharged.answerBytes);
  }
}

} // namespace plantainhaven
