#include "ctl/status_table.h"

#include "ctl/ctl_error.h"
#include "ctl/text_table.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdio>
#include <map>

namespace briarpoint {

namespace {

using nlohmann::json;

std::string formatValue(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string yesNo(const json &Value) { return Value.get<bool>() ? "yes" : "no"; }

std::string formatPercent(std::uint64_t Part, std::uint64_t Whole) {
  char Text[16];
  std::snprintf(Text, sizeof(Text), "%.1f%%",
                Whole == 0 ? 0.0 : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole));
  return Text;
}

std::string formatMembers(const json &Members) {
  text_table Table({"MEMBER", "DATA CENTRE", "STATE", "INCARNATION", "SUSPECTED"});
  for (const json &Member : Members)
    Table.add({formatValue(Member.at("name")), formatValue(Member.at("data_centre")),
               formatValue(Member.at("state")), formatValue(Member.at("incarnation")),
               yesNo(Member.at("suspected"))});
  return Table.format();
}

/// The column SHARE is the target's share of the open flows of its service at this balancer.
std::string formatTargets(const json &Targets) {
  std::map<std::string, std::uint64_t> Totals;
  for (const json &Target : Targets)
    Totals[Target.at("service")] += Target.at("open_flows").get<std::uint64_t>();
  text_table Table({"TARGET", "HEALTH", "NEW FLOWS", "WEIGHT", "OPEN FLOWS", "SHARE"});
  for (const json &Target : Targets) {
    const std::string Service = Target.at("service");
    char Weight[16];
    std::snprintf(Weight, sizeof(Weight), "%.2f", Target.at("weight").get<double>());
    Table.add({Service + "/" + Target.at("name").get<std::string>(),
               formatValue(Target.at("health")), yesNo(Target.at("accepts_new")), Weight,
               formatValue(Target.at("open_flows")),
               formatPercent(Target.at("open_flows").get<std::uint64_t>(), Totals[Service])});
  }
  return Table.format();
}

std::string formatClasses(const json &Status) {
  text_table Table({"CLASS", "ADMITTED", "REJECTED"});
  for (const char *Class : {"critical", "normal", "bulk"})
    Table.add({Class, formatValue(Status.at("admitted").at(Class)),
               formatValue(Status.at("rejected").at(Class))});
  return Table.format();
}

std::string formatDropped(const json &Dropped) {
  std::string Text;
  for (const auto &[Reason, Count] : Dropped.items())
    if (Count != 0)
      Text += (Text.empty() ? "" : ", ") + Reason + " " + formatValue(Count);
  return "  dropped packets: " + (Text.empty() ? "none" : Text) + "\n";
}

template <typename T>
std::string parseAndFormat(const char *Subject, std::string_view Text, const T &Format) {
  try {
    return Format(json::parse(Text));
  } catch (const json::exception &Error) {
    throw ctl_error(exit_code::UnexpectedAnswer,
                    std::string("malformed ") + Subject + " from the balancer: " + Error.what());
  }
}

} // namespace

std::string formatStatus(std::string_view StatusJson) {
  return parseAndFormat("status", StatusJson, [](const json &Status) {
    const json &Flows = Status.at("flows");
    return formatValue(Status.at("name")) + " (" + formatValue(Status.at("data_centre")) +
           "): " + (Status.at("ready").get<bool>() ? "ready" : "not ready") + ", version " +
           formatValue(Status.at("version")) + "\n" +
           "  flows: " + formatValue(Flows.at("records")) + " records, " +
           formatValue(Flows.at("owned")) + " owned, " + formatValue(Flows.at("opened")) +
           " opened, " + formatValue(Flows.at("reset")) + " reset, " +
           formatValue(Flows.at("silent")) + " silent\n" + formatDropped(Status.at("dropped")) +
           formatClasses(Status) + formatMembers(Status.at("members")) +
           formatTargets(Status.at("targets"));
  });
}

std::string formatHistory(std::string_view HistoryJson) {
  return parseAndFormat("history", HistoryJson, [](const json &History) {
    const json &Entries = History.is_array() ? History : History.at("history");
    text_table Table({"VERSION", "PATCH"});
    for (auto Entry = Entries.rbegin(); Entry != Entries.rend(); ++Entry)
      Table.add({formatValue(Entry->at("version")), formatValue(Entry->at("id"))});
    return Table.format();
  });
}

} // namespace briarpoint
