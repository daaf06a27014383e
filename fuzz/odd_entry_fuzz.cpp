#include "base/findings_error.h"
#include "platform/http_object_api.h"
#include "platform/store_object_format.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace {

using namespace briarpoint;

const std::string Good =
    R"({"meta":{"name":"i-1","revision":4,"created":2},"spec":{"service":"s","zone":"z",)"
    R"("max_concurrency":2,"state":"ready","address":"10.0.0.1:80"}})";

/// Returns the input as the content of a JSON string: it can't end the string.
std::string asText(std::string_view Input) {
  std::string Result = "\"";
  for (const char C : Input)
    if (C != '"')
      Result += C;
  // A backslash at the end would escape the quote.
  while (Result.back() == '\\')
    Result.pop_back();
  return Result + "\"";
}

/// Returns the input as one word outside of strings.
std::string asWord(std::string_view Input) {
  std::string Result = "0";
  for (const char C : Input)
    if (std::string_view("[]{},:\" \t\r\n").find(C) == std::string_view::npos)
      Result += C;
  return Result;
}

/// Returns nested arrays and objects; each byte of the input opens some.
std::string asNesting(std::string_view Input) {
  std::string Opening;
  std::string Closing;
  for (const char C : Input) {
    const bool Array = C % 2 == 0;
    for (int I = 0; I < 8; ++I) {
      Opening += Array ? "[" : "{\"a\":";
      Closing += Array ? ']' : '}';
    }
  }
  std::reverse(Closing.begin(), Closing.end());
  return Opening + "0" + Closing;
}

http_answer answer(const std::string &Body) {
  return {http_answer::outcome::Answered, 200, {}, Body};
}

/// Expects that the object is the good entry, which can be used.
void expectGood(const stored_object &Object) {
  const target_registration Read = platform::store_object_format().parseRegistration(Object);
  if (Read.Name != "i-1" || Read.Address.Port != 80)
    std::abort();
}

/// Expects that the good entries beside an odd one are read from a list and from changes.
void expectGoodEntriesBeside(const std::string &Odd) {
  const object_parts Parts = platform::store_object_format().registrationParts();
  const list_answer List =
      platform::parseListAnswer(answer(R"({"items":[)" + Good + "," + Odd + "," + Good +
                                       R"(],"has_more":true,)" + R"("current_rev":9})"),
                                Parts);
  if (List.Outcome != call_outcome::Done || List.Objects.size() != 3)
    std::abort();
  expectGood(List.Objects.front());
  expectGood(List.Objects.back());
  const watch_answer Watch = platform::parseWatchAnswer(
      answer(R"({"events":[{"deleted":false,"object":)" + Odd + R"(},{"deleted":false,"object":)" +
             Good + R"(}],"current_rev":9})"),
      Parts);
  if (Watch.Outcome != call_outcome::Done || Watch.Changes.size() != 2)
    std::abort();
  expectGood(Watch.Changes.back().Object);
}

} // namespace

/// Places the input as one odd entry among good ones, in each part of an object of the store. The
/// good ones must stay readable.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  for (const std::string &Value : {asText(Input), asWord(Input), asNesting(Input)}) {
    expectGoodEntriesBeside(Value);
    expectGoodEntriesBeside(R"({"meta":)" + Value + "}");
    expectGoodEntriesBeside(R"({"meta":{"name":)" + Value + R"(,"revision":1}})");
    expectGoodEntriesBeside(R"({"meta":{"name":"i-2","revision":)" + Value + "}}");
    expectGoodEntriesBeside(R"({"meta":{"name":"i-2","revision":1},"spec":)" + Value + "}");
  }
  return 0;
}
