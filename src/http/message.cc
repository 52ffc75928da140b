#include "plantainhaven/http/message.h"

#include "http/text.h"

#include <algorithm>
#include <charconv>

namespace plantainhaven {

namespace {

constexpr std::size_t kEscapeLength = 3;
constexpr int kHexadecimal = 16;

std::string
DecodeQuery(std::string_view aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    unsigned code = 0;
    const char* digits = aText.data() + index + 1;
    const bool isEscape = aText[index] == '%' && index + kEscapeLength <= aText.size() &&
                          std::from_chars(digits, digits + 2, code, kHexadecimal).ptr == digits + 2;
    if (isEscape) {
      decoded += static_cast<char>(code);
      index += 2;
    } else {
      decoded += aText[index] == '+' ? ' ' : aText[index];
    }
  }
  return decoded;
}

} // namespace

std::string_view
HttpHeaders::Get(std::string_view aName) const
{
  for (const HttpHeader& field : this->fields) {
    if (EqualIgnoringCase(field.name, aName)) {
      return field.value;
    }
  }
  return {};
}

std::size_t
HttpHeaders::CountOf(std::string_view aName) const
{
  return static_cast<std::size_t>(
    std::count_if(this->fields.begin(), this->fields.end(), [aName](const HttpHeader& aField) {
      return EqualIgnoringCase(aField.name, aName);
    }));
}

void
HttpHeaders::Add(std::string aName, std::string aValue)
{
  this->fields.push_back({ std::move(aName), std::move(aValue) });
}

void
HttpHeaders::Remove(std::string_view aName)
{
  std::erase_if(this->fields, [aName](const HttpHeader& aField) {
    return EqualIgnoringCase(aField.name, aName);
  });
}

std::string
HttpRequest::Query(std::string_view aName) const
{
  const std::size_t mark = this->target.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(this->target).substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (DecodeQuery(pair.substr(0, equals)) == aName) {
      return DecodeQuery(pair.substr(std::min(equals + 1, pair.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

HttpResponse
JsonResponse(int aStatus, std::string aJson)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(aJson);
  return response;
}

} // namespace plantainhaven
