#ifndef BRIARPOINT_DAEMON_PACKET_TASK_H
#define BRIARPOINT_DAEMON_PACKET_TASK_H

#include "core/data/data_plane.h"
#include "daemon/packet_command.h"
#include "daemon/packet_report.h"
#include "daemon/packet_task_settings.h"
#include "io/file_descriptor.h"
#include "io/receive_batch.h"
#include "io/send_batch.h"
#include "io/time_source.h"
#include "net/geneve.h"

namespace briarpoint {

/// Receives Geneve packets in batches, passes them to the data plane, and sends the resulting
/// packets. Owns the packet socket and the data plane. Communicates with the control task only
/// through mailboxes.
class packet_task final : private data_plane_listener {
public:
  /// Datagrams per system call.
  static constexpr std::size_t BatchSize = 64;

  /// All references must outlive the task.
  /// \throws std::system_error if the data endpoint can't be bound.
  packet_task(const packet_task_settings &Settings, time_source &Clock, random_source &Random,
              packet_commands &Commands, packet_reports &Reports);

  /// Runs until an end_task message arrives. This is the body of the task's thread.
  void run();

  /// Waits up to \p MaxWait for packets or messages and handles them. Returns false after an
  /// end_task message.
  bool step(std::chrono::milliseconds MaxWait);

  /// The endpoint that the packet socket is bound to.
  endpoint local() const;

  const packet_task_counters &counters() const { return Counters; }

private:
  void sendToTarget(const target_view &Target, std::span<const std::byte> Inner) override;
  void sendToCaller(std::span<const std::byte> Inner) override;
  void sendToBalancer(const member_view &Member, const handover &Handover,
                      std::span<const std::byte> Inner) override;
  void sendRecords(member_id To, std::span<const flow_record> Records) override;
  void sendTransferFinished(member_id To) override;
  void reportObservations(std::span<const target_observation> Observations) override;

  void handleCommand(const packet_command &Command);
  void handleBatch(std::size_t Count);
  void handleDatagram(const endpoint &Source, std::span<const std::byte> Payload);
  bool isFabricSource(const ip_address &Source) const;
  void handleHandoverPacket(const endpoint &Source, const geneve_view &Outer);
  void send(const endpoint &To, std::uint32_t Vni, std::uint8_t OptionType,
            std::span<const std::byte> OptionBody, std::span<const std::byte> Inner);
  void flush();
  void runTimers();

  const packet_task_settings Settings;
  time_source &Clock;
  packet_commands &Commands;
  packet_reports &Reports;
  file_descriptor Socket;
  receive_batch Incoming;
  send_batch Outgoing;
  data_plane Plane;
  std::shared_ptr<const forwarding_view> View;
  packet_task_counters Counters;
  /// Datagrams in Outgoing.
  std::size_t QueuedDatagrams = 0;
  /// Time of the batch in progress.
  instant Now;
  instant NextTick;
  instant NextCountersReport;
  bool Ended = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_DAEMON_PACKET_TASK_H
