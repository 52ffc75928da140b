#pragma once

#include "plantainhaven/api/client.h"
#include "programs/plantainctl/exit_codes.h"
#include "programs/plantainctl/options.h"

#include <optional>
#include <string>

#include <google/protobuf/message.h>

namespace plantainhaven::ctl {

// What a command works with: its options, its arguments and the API.
struct Session
{
  explicit Session(Options aOptions);

  Options options;
  // Words after those that name the command.
  std::vector<std::string> arguments;
  ApiClient client;
};

// The answer if it is a success. Otherwise prints what went wrong and returns nothing.
// Sets `aExit` either way.
std::optional<HttpResponse>
Succeeded(Result<HttpResponse> aAnswer, ExitCode& aExit);

// Sends a read; prints the error and returns nothing when it didn't succeed, with
// `aExit` set.
std::optional<HttpResponse>
Fetch(Session& aSession, const std::string& aTarget, ExitCode& aExit);

// Sends a write under the change id of the options, if one is given. Prints errors
// like Fetch(). Waits for acceptance when the options ask for it and sets `aExit`.
std::optional<HttpResponse>
SendWrite(Session& aSession, HttpRequest aRequest, ExitCode& aExit);

// Brings an outcome up to date after SendWrite() waited for acceptance.
void
MarkAccepted(ExitCode aExit, WriteOutcome& aOutcome);

// Sends a write and prints its outcome.
ExitCode
WriteAndPrint(Session& aSession, HttpRequest aRequest);

// Reads an answer's body, passing over fields that a newer server may have added.
bool
ReadBody(const HttpResponse& aResponse, google::protobuf::Message& aMessage);

// Prints an error as one line with its remedy below it.
void
PrintError(const Error& aError);

} // namespace plantainhaven::ctl
