#include "telemetry/boundedeventlog.h"

#include "global/iclock.h"
#include "telemetry/ilogsink.h"
#include "telemetry/types/logentry.h"

#include <absl/strings/str_cat.h>

namespace radishladder::telemetry {
namespace {
constexpr std::chrono::seconds kBudgetPeriod{1};
constexpr std::size_t kMaxRecentLines = 256;
}

BoundedEventLog::BoundedEventLog(const IClock &clock, ILogSink &sink, int flowLinesPerSecond,
                                 std::size_t bufferBytes)
    : clock(clock), sink(sink), flowLinesPerSecond(flowLinesPerSecond), bufferBytes(bufferBytes),
      flowBudget(flowLinesPerSecond), flowEndBudget(flowLinesPerSecond),
      budgetPeriodStart(clock.now())
{ }

bool BoundedEventLog::accepts(LogKind kind)
{
    this->refillBudgets();
    const int *budget = this->budgetOf(kind);
    if (this->buffer.size() < this->bufferBytes && (budget == nullptr || *budget > 0)) {
        return true;
    }
    ++this->unreportedDrops;
    ++this->totalDropped;
    return false;
}

void BoundedEventLog::write(const LogEntry &entry)
{
    if (!this->accepts(entry.kind())) {
        return;
    }
    if (int *budget = this->budgetOf(entry.kind())) {
        --*budget;
    }
    this->append(entry);
}

void BoundedEventLog::flush()
{
    const auto now = this->clock.now();
    const bool isDue = now - this->dropsReportedAt >= kBudgetPeriod;
    if (this->unreportedDrops > 0 && isDue && this->buffer.size() < this->bufferBytes) {
        this->dropsReportedAt = now;
        LogEntry summary(LogKind::State, "log.leftout");
        summary.number("lines", static_cast<std::int64_t>(this->unreportedDrops));
        this->unreportedDrops = 0;
        this->append(summary);
    }
    if (!this->buffer.empty()) {
        this->buffer.erase(0, this->sink.tryWrite(this->buffer));
    }
}

int *BoundedEventLog::budgetOf(LogKind kind)
{
    switch (kind) {
    case LogKind::Flow:
        return &this->flowBudget;
    case LogKind::FlowEnd:
        return &this->flowEndBudget;
    case LogKind::State:
        break;
    }
    return nullptr;
}

void BoundedEventLog::refillBudgets()
{
    const auto now = this->clock.now();
    if (now - this->budgetPeriodStart >= kBudgetPeriod) {
        this->budgetPeriodStart = now;
        this->flowBudget = this->flowLinesPerSecond;
        this->flowEndBudget = this->flowLinesPerSecond;
    }
}

void BoundedEventLog::append(const LogEntry &entry)
{
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.wallTime().time_since_epoch());
    const auto steady =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now().time_since_epoch());
    const std::string line = absl::StrCat("{\"time_ms\":", wall.count(),
                                          ",\"steady_ms\":", steady.count(), entry.fields(), "}");
    absl::StrAppend(&this->buffer, line, "\n");
    if (entry.kind() == LogKind::State) {
        this->recentLines.push_back(line);
        if (this->recentLines.size() > kMaxRecentLines) {
            this->recentLines.pop_front();
        }
    }
}
}
