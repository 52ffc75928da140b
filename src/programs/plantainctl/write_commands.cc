#include "api/answers.h"
#include "programs/plantainctl/commands.h"
#include "programs/plantainctl/output.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace plantainhaven::ctl {

namespace {

constexpr const char* kStandardInput = "-";

std::optional<std::string>
ReadAll(const std::string& aFileName)
{
  if (aFileName == kStandardInput) {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream input(aFileName);
  if (!input) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(input), {});
}

// Adds the resources of a file to `aRequest`.
Result<Done>
AddFile(const std::string& aFileName, ApplyRequest& aRequest)
{
  const std::optional<std::string> text = ReadAll(aFileName);
  if (!text) {
    return Error{ ErrorKind::kInvalid, aFileName + ": can't be read", "check the file's name" };
  }
  const Result<ApplyRequest> parsed = ParseResourceFile(aFileName, *text);
  if (!IsOk(parsed)) {
    return ErrorOf(parsed);
  }
  aRequest.MergeFrom(ValueOf(parsed));
  return Done{};
}

std::string
IssuedKeyText(const IssuedKey& aIssued)
{
  return "name: " + aIssued.name() + "\nkey: " + aIssued.key() +
         "\nThe key is shown this once only.\n" + OutcomeText(aIssued.outcome());
}

} // namespace

ExitCode
ApplyFiles(Session& aSession)
{
  if (aSession.options.files.empty()) {
    PrintError({ ErrorKind::kInvalid, "no file given", "name one with -f FILE" });
    return ExitCode::kUsage;
  }
  ApplyRequest request;
  for (const std::string& file : aSession.options.files) {
    if (Result<Done> added = AddFile(file, request); !IsOk(added)) {
      PrintError(ErrorOf(added));
      return ExitCode::kInvalid;
    }
  }
  return WriteAndPrint(aSession, MakeApiRequest("POST", "/v1/apply", ToJson(request)));
}

ExitCode
DeleteResource(Session& aSession)
{
  HttpRequest request =
    MakeApiRequest("DELETE", "/v1/" + aSession.arguments[0] + '/' + aSession.arguments[1]);
  if (aSession.options.ifVersion) {
    request.headers.Add("If-Match", '"' + std::to_string(*aSession.options.ifVersion) + '"');
  }
  return WriteAndPrint(aSession, std::move(request));
}

ExitCode
IssueKey(Session& aSession)
{
  ExitCode exit = ExitCode::kFailure;
  const std::string target = "/v1/client_account/" + aSession.arguments[0] + "/keys";
  const std::optional<HttpResponse> response =
    SendWrite(aSession, MakeApiRequest("POST", target), exit);
  if (!response) {
    return exit;
  }
  IssuedKey issued;
  if (!ReadBody(*response, issued)) {
    std::cout << response->body << '\n';
    return exit;
  }
  MarkAccepted(exit, *issued.mutable_outcome());
  const bool json = aSession.options.output == OutputFormat::kJson;
  std::cout << (json ? ToJson(issued) + '\n' : IssuedKeyText(issued));
  return exit;
}

ExitCode
WithdrawKey(Session& aSession)
{
  return WriteAndPrint(aSession, MakeApiRequest("DELETE", "/v1/key/" + aSession.arguments[0]));
}

ExitCode
DrainServer(Session& aSession)
{
  const std::string target = "/v1/backend_server/" + aSession.arguments[0] + "/drain";
  return WriteAndPrint(aSession, MakeApiRequest("POST", target));
}

ExitCode
UndrainServer(Session& aSession)
{
  const std::string target = "/v1/backend_server/" + aSession.arguments[0] + "/undrain";
  return WriteAndPrint(aSession, MakeApiRequest("POST", target));
}

} // namespace plantainhaven::ctl
