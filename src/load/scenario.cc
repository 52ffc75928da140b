#include "plantainhaven/load/scenario.h"

#include <charconv>
#include <fstream>
#include <sstream>

namespace plantainhaven {

namespace {

constexpr char kAccountForm[] = "NAME OFFERED RATE BURST [GROUP]";
constexpr char kRequestForm[] = "METHOD PATH SERVICE WEIGHT [once]";
constexpr char kServerForm[] = "NAME REGION ADDRESS:PORT SLOTS";

std::vector<std::string>
Words(const std::string& aText)
{
  std::istringstream input(aText);
  std::vector<std::string> words;
  std::string word;
  while (input >> word) {
    words.push_back(word);
  }
  return words;
}

// Reads a number that is at least `aLeast`.
template<typename T>
bool
ReadNumber(const std::string& aText, T aLeast, T& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, aNumber);
  return error == std::errc() && rest == end && aNumber >= aLeast;
}

Error
WrongEntry(const std::string& aKey, const std::string& aForm, const std::string& aFound)
{
  return { ErrorKind::kInvalid,
           aKey + ": expected " + aForm + ", found \"" + aFound + "\"",
           "Write the entry in this form and separate entries by commas.",
           aKey };
}

Result<LoadAccount>
ParseAccount(const std::string& aText)
{
  const std::vector<std::string> words = Words(aText);
  LoadAccount account;
  const bool right =
    (words.size() == 4 || words.size() == 5) && ReadNumber(words[1], 0.0, account.offered) &&
    ReadNumber(words[2], 0.0, account.rate) && ReadNumber(words[3], 1.0, account.burst) &&
    (words.size() == 4 || ReadNumber(words[4], std::size_t(1), account.group));
  if (!right) {
    return WrongEntry("traffic.accounts", kAccountForm, aText);
  }
  account.name = words[0];
  return account;
}

Result<LoadRequest>
ParseRequest(const std::string& aText)
{
  const std::vector<std::string> words = Words(aText);
  LoadRequest request;
  const bool right = (words.size() == 4 || (words.size() == 5 && words[4] == "once")) &&
                     words[1][0] == '/' && ReadNumber(words[3], 0.0, request.weight);
  if (!right) {
    return WrongEntry("traffic.requests", kRequestForm, aText);
  }
  request.method = words[0];
  request.path = words[1];
  request.service = words[2];
  request.once = words.size() == 5;
  return request;
}

Result<WatchedServer>
ParseServer(const std::string& aText)
{
  const std::vector<std::string> words = Words(aText);
  WatchedServer server;
  if (words.size() != 4 || !ReadNumber(words[3], 1U, server.slots)) {
    return WrongEntry("backends.servers", kServerForm, aText);
  }
  const Result<Endpoint> endpoint = ParseEndpoint(words[2]);
  if (!IsOk(endpoint)) {
    return WrongEntry("backends.servers", kServerForm, aText);
  }
  server.name = words[0];
  server.region = words[1];
  server.endpoint = ValueOf(endpoint);
  return server;
}

// Parses every entry of a list; the first error ends it.
template<typename T>
Result<std::vector<T>>
ParseList(const google::protobuf::RepeatedPtrField<std::string>& aEntries,
          Result<T> (*aParse)(const std::string&))
{
  std::vector<T> list;
  for (const std::string& entry : aEntries) {
    Result<T> parsed = aParse(entry);
    if (!IsOk(parsed)) {
      return ErrorOf(parsed);
    }
    list.push_back(std::move(ValueOf(parsed)));
  }
  return list;
}

// Moves a parsed list into its place or passes the error on.
template<typename T>
Result<Done>
Take(Result<std::vector<T>> aList, std::vector<T>& aPlace)
{
  if (!IsOk(aList)) {
    return ErrorOf(aList);
  }
  aPlace = std::move(ValueOf(aList));
  return Done{};
}

Result<Done>
CheckMode(const LoadScenario& aSettings)
{
  const std::string& mode = aSettings.run().mode();
  if (mode != "open" && mode != "closed") {
    return Error{ ErrorKind::kInvalid,
                  "run.mode: expected open or closed, found \"" + mode + "\"",
                  "Choose one of the two.",
                  "run.mode" };
  }
  return Done{};
}

} // namespace

Result<Endpoint>
ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  Endpoint endpoint;
  if (colon == std::string::npos || colon == 0 ||
      !ReadNumber(aText.substr(colon + 1), std::uint16_t(1), endpoint.port)) {
    return WrongEntry("endpoint", "ADDRESS:PORT", aText);
  }
  endpoint.address = aText.substr(0, colon);
  return endpoint;
}

Result<Scenario>
ParseScenario(const LoadScenario& aSettings)
{
  Scenario scenario;
  scenario.settings = aSettings;
  const Result<Done> results[] = {
    CheckMode(aSettings),
    Take(ParseList(aSettings.traffic().accounts(), ParseAccount), scenario.accounts),
    Take(ParseList(aSettings.traffic().requests(), ParseRequest), scenario.requests),
    Take(ParseList(aSettings.lookup().endpoints(), ParseEndpoint), scenario.lookups),
    Take(ParseList(aSettings.backends().servers(), ParseServer), scenario.servers),
  };
  for (const Result<Done>& result : results) {
    if (!IsOk(result)) {
      return ErrorOf(result);
    }
  }
  return scenario;
}

Result<Done>
ReadKeys(const std::string& aFileName, Scenario& aScenario)
{
  std::ifstream file(aFileName);
  if (!file) {
    return Error{ ErrorKind::kInvalid,
                  "expected a readable key file, found none at " + aFileName,
                  "Write a line of ACCOUNT KEY for each account." };
  }
  std::string line;
  for (std::size_t number = 1; std::getline(file, line); ++number) {
    const std::vector<std::string> words = Words(line);
    if (words.size() != 2) {
      // The line isn't repeated, as it may hold a key.
      return Error{ ErrorKind::kInvalid,
                    aFileName + ":" + std::to_string(number) + ": expected ACCOUNT KEY, found " +
                      std::to_string(words.size()) + " words",
                    "Write a line of ACCOUNT KEY for each account." };
    }
    for (LoadAccount& account : aScenario.accounts) {
      if (account.name == words[0]) {
        account.key = words[1];
      }
    }
  }
  return Done{};
}

} // namespace plantainhaven
