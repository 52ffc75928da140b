#include "programs/plantainctl/session.h"

#include "api/answers.h"
#include "programs/plantainctl/output.h"

#include <iostream>
#include <thread>

#include <google/protobuf/util/json_util.h>

namespace plantainhaven::ctl {

namespace {

constexpr int kFirstErrorStatus = 300;
constexpr std::chrono::milliseconds kPollInterval{ 100 };

void
PrintErrorAnswer(const HttpResponse& aResponse)
{
  ErrorAnswer answer;
  if (!ReadBody(aResponse, answer) || answer.message().empty()) {
    std::cerr << "plantainctl: the server answered " << aResponse.status << '\n';
    return;
  }
  PrintError({ ErrorKind::kInternal, answer.message(), answer.remedy() });
  if (answer.has_current()) {
    std::cerr << "current state:\n" << ResourceText(answer.current());
  }
}

std::uint64_t
RevisionOf(const HttpResponse& aResponse)
{
  const std::string text(aResponse.headers.Get(kRevisionHeader));
  return std::strtoull(text.c_str(), nullptr, 10);
}

// Asks until the revision is accepted or the options' wait is over.
bool
WaitUntilAccepted(Session& aSession, std::uint64_t aRevision)
{
  const auto end = std::chrono::steady_clock::now() + *aSession.options.wait;
  while (std::chrono::steady_clock::now() < end) {
    const Result<HttpResponse> answer = aSession.client.Send(MakeApiRequest("GET", "/v1/status"));
    FleetStatus status;
    const bool read = IsOk(answer) && ReadBody(ValueOf(answer), status);
    if (read && status.accepted_revision() >= aRevision) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

} // namespace

Session::Session(Options aOptions)
  : options(std::move(aOptions))
  , client(this->options.client)
{
}

void
PrintError(const Error& aError)
{
  std::cerr << "plantainctl: " << aError.message << '\n';
  if (!aError.remedy.empty()) {
    std::cerr << "remedy: " << aError.remedy << '\n';
  }
}

bool
ReadBody(const HttpResponse& aResponse, google::protobuf::Message& aMessage)
{
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(aResponse.body, &aMessage, options).ok();
}

std::optional<HttpResponse>
Succeeded(Result<HttpResponse> aAnswer, ExitCode& aExit)
{
  if (!IsOk(aAnswer)) {
    PrintError(ErrorOf(aAnswer));
    aExit = ExitCodeOf(ErrorOf(aAnswer).kind);
    return std::nullopt;
  }
  HttpResponse& response = ValueOf(aAnswer);
  aExit = ExitCodeOf(response.status);
  if (response.status >= kFirstErrorStatus) {
    PrintErrorAnswer(response);
    return std::nullopt;
  }
  return std::move(response);
}

std::optional<HttpResponse>
Fetch(Session& aSession, const std::string& aTarget, ExitCode& aExit)
{
  return Succeeded(aSession.client.Send(MakeApiRequest("GET", aTarget)), aExit);
}

std::optional<HttpResponse>
SendWrite(Session& aSession, HttpRequest aRequest, ExitCode& aExit)
{
  if (!aSession.options.changeId.empty()) {
    aRequest.headers.Add(kChangeIdHeader, aSession.options.changeId);
  }
  std::optional<HttpResponse> response =
    Succeeded(aSession.client.Send(std::move(aRequest)), aExit);
  const bool pending = response && aExit == ExitCode::kNotYetAccepted;
  if (pending && aSession.options.wait && WaitUntilAccepted(aSession, RevisionOf(*response))) {
    aExit = ExitCode::kOk;
  }
  return response;
}

void
MarkAccepted(ExitCode aExit, WriteOutcome& aOutcome)
{
  if (aExit == ExitCode::kOk) {
    aOutcome.set_accepted(true);
    aOutcome.clear_missing_vms();
  }
}

ExitCode
WriteAndPrint(Session& aSession, HttpRequest aRequest)
{
  ExitCode exit = ExitCode::kFailure;
  const std::optional<HttpResponse> response = SendWrite(aSession, std::move(aRequest), exit);
  if (!response) {
    return exit;
  }
  WriteOutcome outcome;
  if (!ReadBody(*response, outcome)) {
    std::cout << response->body << '\n';
    return exit;
  }
  MarkAccepted(exit, outcome);
  const bool json = aSession.options.output == OutputFormat::kJson;
  std::cout << (json ? ToJson(outcome) + '\n' : OutcomeText(outcome));
  return exit;
}

} // namespace plantainhaven::ctl
