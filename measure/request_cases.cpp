#include "measure/case_catalog.h"

#include "base/hash.h"
#include "measure/request_schedule.h"

namespace briarpoint::measure {

namespace {

report atMostOnce(std::uint64_t Seed, std::uint32_t Scale) {
  report Report("at_most_once", Seed);
  schedule_result Sum;
  const std::uint32_t Schedules = 10'000 / Scale;
  std::uint32_t Finished = 0;
  for (std::uint32_t I = 0; I < Schedules; ++I) {
    const schedule_result Result = runSchedule(mixHash(Seed, I), schedule_fault::None);
    Sum.Requests += Result.Requests;
    Sum.Runs += Result.Runs;
    Sum.Answers += Result.Answers;
    Sum.NotRunAnswers += Result.NotRunAnswers;
    Sum.UnknownAnswers += Result.UnknownAnswers;
    Sum.Crashes += Result.Crashes;
    Sum.RanTwice += Result.RanTwice;
    Sum.WrongNotRunAnswers += Result.WrongNotRunAnswers;
    Report.mixIntoHash(Result.Hash);
    Finished += Result.Answers > 0 ? 1 : 0;
  }
  // Counts schedules with at least one answer to a caller; the others check nothing.
  Report.atLeast("schedules", Finished, Schedules);
  Report.atMost("ran_twice", Sum.RanTwice, 0);
  Report.atMost("wrongly_told_not_run", Sum.WrongNotRunAnswers, 0);
  // Enough requests must run for the checks to mean anything.
  Report.atLeast("runs", Sum.Runs, Sum.Requests / 4.0);
  Report.atLeast("told_not_run", Sum.NotRunAnswers, 1);
  Report.figure("requests", Sum.Requests);
  Report.figure("answers", Sum.Answers);
  Report.figure("told_unknown", Sum.UnknownAnswers);
  Report.figure("crashes", Sum.Crashes);
  return Report;
}

} // namespace

void addRequestCases(std::vector<measure_case> &Cases) {
  Cases.push_back({"at_most_once", atMostOnce});
}

} // namespace briarpoint::measure
