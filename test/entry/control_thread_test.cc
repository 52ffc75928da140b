#include "plantainhaven/entry/control_thread.h"

#include "entry/request_fixture.h"

#include <catch2/catch.hpp>

using namespace plantainhaven;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A control thread that is stepped by hand, with the answers that a test gives.
class ControlFixture
{
public:
  // Adds the change that was applied last to the next answer.
  void AddChange()
  {
    *this->answer.add_changes() = this->config.Applied();
    this->answer.set_applied_revision(this->config.Applied().revision());
  }
  void Round()
  {
    this->control.RunOnce(this->now);
    this->answer.clear_changes();
  }
  void SetFreshFor(milliseconds aTime)
  {
    this->answer.set_fresh_until_boottime_ns(ToBootNanoseconds(this->now + aTime));
  }

  ConfigWriter config;
  BootTime now{ seconds(1000) };
  ViewAnswer answer;
  bool answers = true;
  bool established = false;
  std::vector<ViewAsk> asks;
  std::vector<BudgetConfiguration> budgetUpdates;
  FakeBudgets budgets;
  ViewState view;
  Steering steering{ { "a", 1 } };
  BackendPool pool{ {}, this->budgets };
  ControlThread control{ [this](const ViewAsk& aAsk) {
                          this->asks.push_back(aAsk);
                          return this->answers ? std::optional<ViewAnswer>(this->answer)
                                               : std::nullopt;
                        },
                         milliseconds(10),
                         { this->view,
                           this->steering,
                           this->pool,
                           { [this](const BudgetConfiguration& aUpdate, BootTime) {
                              this->budgetUpdates.push_back(aUpdate);
                            },
                             [](const BudgetView&, BootTime) {},
                             [this](BootTime) { return this->established; } } } };
};

} // namespace

TEST_CASE("tables follow the changes, and budgets see every revision")
{
  ControlFixture fixture;
  fixture.Round();
  CHECK(fixture.view.Tables() == nullptr);

  fixture.config.AddService("s", 1000);
  fixture.config.AddAccount("small", kSmallKey);
  fixture.config.Apply();
  fixture.AddChange();
  fixture.config.AddServer("s0", "s", "a", "a1");
  fixture.config.Apply();
  fixture.AddChange();
  // A change of what the request path doesn't see is empty.
  fixture.config.Apply();
  fixture.answer.add_changes()->set_revision(3);
  fixture.answer.set_applied_revision(3);
  fixture.SetFreshFor(seconds(3));
  fixture.Round();

  REQUIRE(fixture.view.Tables() != nullptr);
  CHECK(fixture.view.Tables()->AccountOfDigest(Sha256Hex(kSmallKey)) != nullptr);
  CHECK(fixture.view.IsFresh(fixture.now + milliseconds(2999)));
  CHECK_FALSE(fixture.view.IsFresh(fixture.now + seconds(3)));
  REQUIRE(fixture.budgetUpdates.size() == 3);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(fixture.budgetUpdates[i].revision == i + 1);
  }
  // An account's rate; then the slots of the service and the server's connections.
  CHECK(fixture.budgetUpdates[0].specs.size() == 1);
  CHECK(fixture.budgetUpdates[2].specs.size() == 3);
  CHECK(fixture.asks.back().applied_revision() == 0);
  fixture.Round();
  CHECK(fixture.asks.back().applied_revision() == 3);
}

TEST_CASE("while plantain-controld is silent the last freshness runs out by itself")
{
  ControlFixture fixture;
  fixture.config.AddService("s", 1000);
  fixture.config.Apply();
  fixture.AddChange();
  fixture.SetFreshFor(seconds(3));
  fixture.Round();
  fixture.answers = false;
  fixture.now += seconds(2);
  fixture.Round();
  CHECK(fixture.view.IsFresh(fixture.now));
  fixture.now += seconds(1);
  fixture.Round();
  CHECK_FALSE(fixture.view.IsFresh(fixture.now));
  CHECK(fixture.view.Tables() != nullptr);
}

TEST_CASE("an answer whose changes are missing adds no freshness")
{
  ControlFixture fixture;
  fixture.config.AddService("s", 1000);
  fixture.config.Apply();
  fixture.AddChange();
  fixture.SetFreshFor(seconds(3));
  fixture.Round();
  fixture.answer.set_applied_revision(2);
  fixture.SetFreshFor(seconds(30));
  fixture.Round();
  CHECK_FALSE(fixture.view.IsFresh(fixture.now + seconds(3)));
}

TEST_CASE("positions go to plantain-controld, and a leaving process says so")
{
  ControlFixture fixture;
  fixture.config.AddService("s", 1000);
  fixture.config.AddServer("s0", "s", "a", "a1");
  fixture.config.AddPolicy("s", { 100 }, 5, 10);
  fixture.config.Apply();
  fixture.AddChange();
  ShiftPosition* position = fixture.answer.add_shift_positions();
  position->set_service("s");
  TrafficPolicy::Weight* weight = position->add_weights();
  weight->set_region("b");
  weight->set_percent(100);
  fixture.Round();
  fixture.control.SetLeaving();
  fixture.Round();
  REQUIRE(fixture.asks.back().shift_positions_size() == 1);
  CHECK(fixture.asks.back().shift_positions(0).weights(0).region() == "b");
  CHECK(fixture.asks.back().leaving());
  CHECK_FALSE(fixture.asks.front().leaving());
}

TEST_CASE("a VM says that it is ready once its budgets are, and stays ready")
{
  ControlFixture fixture;
  fixture.established = true;
  fixture.Round();
  CHECK_FALSE(fixture.asks.back().ready());

  fixture.established = false;
  fixture.config.AddService("s", 1000);
  fixture.config.Apply();
  fixture.AddChange();
  fixture.SetFreshFor(seconds(3));
  fixture.Round();
  fixture.Round();
  CHECK_FALSE(fixture.asks.back().ready());

  fixture.established = true;
  fixture.Round();
  CHECK(fixture.asks.back().ready());
  fixture.established = false;
  fixture.Round();
  CHECK(fixture.asks.back().ready());
}
