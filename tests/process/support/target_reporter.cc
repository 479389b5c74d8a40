#include "process/support/target_reporter.h"

#include <chrono>
#include <stop_token>
#include <utility>

#include "platform/store_records.h"

namespace snipehall::test {

namespace {

constexpr std::chrono::milliseconds kReportInterval{300};

}  // namespace

TargetReporter::TargetReporter(GatewayCluster& cluster,
                               std::string id,
                               std::string service,
                               std::string address)
    : m_cluster(cluster),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_address(std::move(address)) {
  Report(1);
  m_thread = std::jthread([this](const std::stop_token& stop) {
    for (int sequence = 2; !stop.stop_requested(); ++sequence) {
      std::this_thread::sleep_for(kReportInterval);
      Report(sequence);
    }
  });
}

void TargetReporter::Report(int sequence) const {
  m_cluster.AppendTargetRecord(platform::EncodeRecord(
      {m_id, R"({"Address":")" + m_address +
                 R"(","born":1,"Info":{"Service":")" + m_service +
                 R"(","Zone":"zone-1","Slots":9,"Version":"1"},"Status":)" +
                 R"({"State":"ready","ColdLeft":"0ms","Sequence":)" +
                 std::to_string(sequence) + "}}"}));
}

}  // namespace snipehall::test
