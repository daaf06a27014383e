#include "log/log_event.h"

#include <algorithm>
#include <array>

namespace briarpoint {

namespace {

constexpr log_level Info = log_level::Info;
constexpr log_level Warning = log_level::Warning;
constexpr log_level Error = log_level::Error;

constexpr std::array Catalogue{
    log_event_definition{log_event::ProcessStarted, "process_started", Info, "daemon started"},
    log_event_definition{log_event::StopBegan, "stop_began", Info, "graceful stop began"},
    log_event_definition{log_event::ProcessEnded, "process_ended", Info, "daemon ended"},
    log_event_definition{log_event::StopDeadlinePassed, "stop_deadline_passed", Warning,
                         "graceful stop did not complete before its deadline"},
    log_event_definition{log_event::SettingsRejected, "settings_rejected", Error,
                         "settings are invalid"},
    log_event_definition{log_event::SettingsReloaded, "settings_reloaded", Info,
                         "settings were reloaded"},
    log_event_definition{log_event::StartFailed, "start_failed", Error, "daemon could not start"},
    log_event_definition{log_event::RestartNeeded, "restart_needed", Warning,
                         "changed setting takes effect only after a restart"},
    log_event_definition{log_event::BalancerReady, "balancer_ready", Info,
                         "balancer owns its share of the flows"},
    log_event_definition{log_event::MemberChanged, "member_changed", Info,
                         "member changed its state"},
    log_event_definition{log_event::ProcessPaused, "process_paused", Warning,
                         "process was paused; flow records were dropped"},
    log_event_definition{log_event::ConfigurationApplied, "configuration_applied", Info,
                         "configuration is in force"},
    log_event_definition{log_event::ConfigurationFetchFailed, "configuration_fetch_failed", Warning,
                         "configuration could not be fetched from a balancer"},
    log_event_definition{log_event::PatchFinished, "patch_finished", Info, "patch was executed"},
    log_event_definition{log_event::PeerMessageMalformed, "peer_message_malformed", Warning,
                         "authenticated peer message is malformed"},
    log_event_definition{log_event::PeerMessageRefused, "peer_message_refused", Warning,
                         "peer message failed authentication"},
    log_event_definition{log_event::PeerMessageNotSent, "peer_message_not_sent", Warning,
                         "peer message could not be sent"},
    log_event_definition{log_event::RpcRequestRefused, "rpc_request_refused", Warning,
                         "configuration request failed authentication"},
    log_event_definition{log_event::PacketsRefused, "packets_refused", Warning,
                         "packets were refused before they reached the data plane"},
    log_event_definition{log_event::MailboxFull, "mailbox_full", Warning,
                         "mailbox of a task is full; a message was dropped"},
    log_event_definition{log_event::ProbeAnswerMalformed, "probe_answer_malformed", Warning,
                         "health response of a target is malformed"},
    log_event_definition{log_event::TargetChanged, "target_changed", Info,
                         "target changed its availability for new flows"},
    log_event_definition{log_event::OperatorRequestRefused, "operator_request_refused", Warning,
                         "operator request was refused"},
    log_event_definition{log_event::OperatorWrite, "operator_write", Info,
                         "operator request that changes state"},
    log_event_definition{log_event::ReceivingBegan, "receiving_began", Info,
                         "receiving packets of callers"},
    log_event_definition{log_event::RoutesApplied, "routes_applied", Info,
                         "another version of the routes is in force"},
    log_event_definition{log_event::RoutesRefused, "routes_refused", Error,
                         "configuration was refused; the previous one stays in force"},
    log_event_definition{log_event::StoreLost, "store_lost", Warning,
                         "a call to the store failed; the last known state stays in force"},
    log_event_definition{log_event::StoreRegained, "store_regained", Info,
                         "the store answers again"},
    log_event_definition{log_event::StoreAsked, "store_asked", Info,
                         "a call to the store was made"},
    log_event_definition{log_event::StoreAnswered, "store_answered", Info,
                         "a call to the store ended"},
    log_event_definition{log_event::RevisionSourceChanged, "revision_source_changed", Info,
                         "the store's revision is learned from another source"},
    log_event_definition{log_event::RouteRefused, "route_refused", Error,
                         "route was refused; the other routes of the version are in force"},
    log_event_definition{log_event::LimitsRefused, "limits_refused", Error,
                         "limits of a configuration were refused; defaults are in force"},
    log_event_definition{log_event::SeedRefused, "seed_refused", Warning,
                         "seed in the settings was refused; the other seeds stay in use"},
    log_event_definition{log_event::StoreEraChanged, "store_era_changed", Warning,
                         "the store came back from an older copy"},
    log_event_definition{log_event::StoreRecoveryEnded, "store_recovery_ended", Info,
                         "the content of the store that came back counts"},
    log_event_definition{log_event::StoreEraUnreadable, "store_era_unreadable", Warning,
                         "the store's era can't be read; the highest one so far holds"},
    log_event_definition{
        log_event::RegistrationRefused, "registration_refused", Warning,
        "registration of a target was refused; the other registrations stay in use"},
    log_event_definition{log_event::RegistrationChanged, "registration_changed", Info,
                         "registration of a target changed"},
    log_event_definition{log_event::TargetSuspected, "target_suspected", Warning,
                         "target does not answer callers; new flows avoid it"},
    log_event_definition{log_event::TargetAnswered, "target_answered", Info,
                         "target is no longer suspected"},
    log_event_definition{log_event::TargetReported, "target_reported", Warning,
                         "several other forwarders suspect a target; new flows avoid it"},
    log_event_definition{log_event::TargetReportEnded, "target_report_ended", Info,
                         "reports about a target expired, or it answered this forwarder"},
    log_event_definition{log_event::FlowPlaced, "flow_placed", Info,
                         "new flow was assigned to a target"},
    log_event_definition{log_event::FlowPlacedAgain, "flow_placed_again", Info,
                         "caller retransmitted the packet that opens a flow"},
    log_event_definition{log_event::FlowReset, "flow_reset", Warning,
                         "flow was reset towards its caller"},
    log_event_definition{log_event::PacketDropped, "packet_dropped", Warning, "packet was dropped"},
    log_event_definition{log_event::PacketRepeated, "packet_repeated", Info,
                         "caller retransmitted a packet of an open flow"},
    log_event_definition{log_event::PacketMalformed, "packet_malformed", Warning,
                         "datagram is not a valid packet of a caller"},
    log_event_definition{log_event::RouteUnconfirmed, "route_unconfirmed", Info,
                         "packet of an open flow was forwarded although the routes, which may be "
                         "outdated, don't allow it"},
};

} // namespace

std::span<const log_event_definition> logCatalogue() { return Catalogue; }

const log_event_definition &definitionOf(log_event Event) {
  return *std::find_if(Catalogue.begin(), Catalogue.end(),
                       [Event](const log_event_definition &Entry) { return Entry.Event == Event; });
}

} // namespace briarpoint
