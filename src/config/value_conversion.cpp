#include "config/value_conversion.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace briarpoint {

namespace {

constexpr std::size_t MaxNameLength = 64;

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9') || C == '.' ||
         C == '_' || C == '-';
}

std::string formatNumber(double Number) {
  std::string Text = std::to_string(Number);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.back() == '.')
    Text.pop_back();
  return Text;
}

std::optional<double> readNumber(const document_value &Value) {
  if (const auto *Number = std::get_if<double>(&Value.Content))
    return *Number;
  if (const auto *Number = std::get_if<std::uint64_t>(&Value.Content))
    return static_cast<double>(*Number);
  if (const auto *Number = std::get_if<std::int64_t>(&Value.Content))
    return static_cast<double>(*Number);
  return std::nullopt;
}

std::optional<double> nanosecondsOfUnit(std::string_view Unit) {
  static constexpr std::array<std::pair<std::string_view, double>, 4> Units{
      {{"ms", 1e6}, {"s", 1e9}, {"min", 60e9}, {"h", 3600e9}}};
  for (const auto &[Name, Length] : Units)
    if (Name == Unit)
      return Length;
  return std::nullopt;
}

std::optional<double> readNanoseconds(const std::string &Text) {
  double Number = 0;
  const char *TextEnd = Text.data() + Text.size();
  const auto [End, Error] = std::from_chars(Text.data(), TextEnd, Number, std::chars_format::fixed);
  if (Error != std::errc() || !std::isfinite(Number))
    return std::nullopt;
  const auto Unit = nanosecondsOfUnit({End, static_cast<std::size_t>(TextEnd - End)});
  if (!Unit)
    return std::nullopt;
  return Number * *Unit;
}

std::string formatDuration(duration Length) {
  return formatNumber(std::chrono::duration<double>(Length).count()) + "s";
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

std::string convertValue(const document_value &Value, std::string &Out) {
  const auto *Text = std::get_if<std::string>(&Value.Content);
  if (Text == nullptr)
    return "must be a string";
  Out = *Text;
  return {};
}

std::string convertValue(const document_value &Value, bool &Out) {
  const auto *Boolean = std::get_if<bool>(&Value.Content);
  if (Boolean == nullptr)
    return "must be true or false";
  Out = *Boolean;
  return {};
}

std::string convertValue(const document_value &Value, name_text Out) {
  const auto *Text = std::get_if<std::string>(&Value.Content);
  if (Text == nullptr || !isName(*Text))
    return "must be a name of 1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'";
  Out.Out = *Text;
  return {};
}

std::string convertValue(const document_value &Value, ip_address &Out) {
  const auto *Text = std::get_if<std::string>(&Value.Content);
  const auto Address = Text == nullptr ? std::nullopt : parseIpAddress(*Text);
  if (!Address)
    return "must be an IPv4 or IPv6 address, such as \"192.0.2.1\"";
  Out = *Address;
  return {};
}

std::string convertValue(const document_value &Value, endpoint &Out) {
  const auto *Text = std::get_if<std::string>(&Value.Content);
  const auto Endpoint = Text == nullptr ? std::nullopt : parseEndpoint(*Text);
  if (!Endpoint)
    return "must be an address and port, such as \"192.0.2.1:80\" or \"[2001:db8::1]:80\"";
  Out = *Endpoint;
  return {};
}

std::string convertValue(const document_value &Value, bounded<double> Out) {
  const std::optional<double> Number = readNumber(Value);
  // The negated comparison also refuses a NaN, which TOML can express.
  if (!Number || !(*Number >= Out.Min && *Number <= Out.Max))
    return "must be a number from " + formatNumber(Out.Min) + " to " + formatNumber(Out.Max);
  Out.Out = *Number;
  return {};
}

std::string convertValue(const document_value &Value, bounded<duration> Out) {
  const auto *Text = std::get_if<std::string>(&Value.Content);
  const auto Nanoseconds = Text == nullptr ? std::nullopt : readNanoseconds(*Text);
  if (!Nanoseconds || *Nanoseconds < static_cast<double>(Out.Min.count()) ||
      *Nanoseconds > static_cast<double>(Out.Max.count()))
    return "must be a duration from \"" + formatDuration(Out.Min) + "\" to \"" +
           formatDuration(Out.Max) + "\" with the unit ms, s, min or h";
  Out.Out = duration(std::llround(*Nanoseconds));
  return {};
}

std::string convertInteger(const document_value &Value, std::uint64_t Min, std::uint64_t Max,
                           std::uint64_t &Out) {
  const auto *Number = std::get_if<std::uint64_t>(&Value.Content);
  if (Number == nullptr || *Number < Min || *Number > Max)
    return "must be an integer from " + std::to_string(Min) + " to " + std::to_string(Max);
  Out = *Number;
  return {};
}

} // namespace briarpoint
