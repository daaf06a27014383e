#ifndef BRIARPOINT_LOG_LOG_EVENT_H
#define BRIARPOINT_LOG_LOG_EVENT_H

#include "config/log_level.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace briarpoint {

/// Events that the programs log. The values are the numbers in docs/LOG_EVENTS.md; a number is
/// never reused for another event.
enum class log_event : std::uint16_t {
  ProcessStarted = 1001,
  StopBegan = 1002,
  ProcessEnded = 1003,
  StopDeadlinePassed = 1004,
  SettingsRejected = 1005,
  SettingsReloaded = 1006,
  StartFailed = 1007,
  RestartNeeded = 1008,
  BalancerReady = 1101,
  MemberChanged = 1102,
  ProcessPaused = 1103,
  ConfigurationApplied = 1201,
  ConfigurationFetchFailed = 1202,
  PatchFinished = 1203,
  PeerMessageMalformed = 1301,
  PeerMessageRefused = 1302,
  PeerMessageNotSent = 1303,
  RpcRequestRefused = 1304,
  PacketsRefused = 1401,
  MailboxFull = 1402,
  ProbeAnswerMalformed = 1501,
  TargetChanged = 1502,
  OperatorRequestRefused = 1601,
  OperatorWrite = 1602,
  ReceivingBegan = 2001,
  RoutesApplied = 2002,
  RoutesRefused = 2003,
  StoreLost = 2004,
  StoreRegained = 2005,
  StoreAsked = 2006,
  StoreAnswered = 2007,
  RevisionSourceChanged = 2008,
  RouteRefused = 2009,
  LimitsRefused = 2010,
  SeedRefused = 2011,
  EvacuationChanged = 2012,
  EvacuationRefused = 2013,
  ServiceRefused = 2015,
  StoreEraChanged = 2016,
  StoreRecoveryEnded = 2017,
  StoreEraUnreadable = 2018,
  StoreChecked = 2019,
  StoreRiseReported = 2020,
  RoutesNotInStore = 2021,
  RegistrationRefused = 2101,
  RegistrationChanged = 2102,
  TargetSuspected = 2103,
  TargetAnswered = 2104,
  TargetReported = 2105,
  TargetReportEnded = 2106,
  TargetDead = 2107,
  TargetDeadEnded = 2108,
  TargetFailing = 2109,
  TargetFailingEnded = 2110,
  FlowPlaced = 2201,
  FlowPlacedAgain = 2202,
  FlowReset = 2203,
  PacketDropped = 2204,
  PacketRepeated = 2205,
  PacketMalformed = 2206,
  RouteUnconfirmed = 2207,
  WarmUpShareChanged = 2301,
  LoadSharingChanged = 2401,
  LoadSpillChanged = 2402,
  AdmissionChanged = 2411,
};

/// An entry of the catalogue of events.
struct log_event_definition {
  log_event Event;
  std::string_view Name;
  log_level Level;
  std::string_view Text;
};

/// All events, ordered by number.
std::span<const log_event_definition> logCatalogue();

const log_event_definition &definitionOf(log_event Event);

} // namespace briarpoint

#endif // BRIARPOINT_LOG_LOG_EVENT_H
