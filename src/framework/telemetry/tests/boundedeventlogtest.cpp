#include "telemetry/boundedeventlog.h"

#include "global/manualclock.h"
#include "telemetry/descriptorsink.h"
#include "telemetry/types/logentry.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

using namespace radishladder;
using namespace radishladder::telemetry;
using namespace std::chrono_literals;

namespace {
class FakeSink : public ILogSink
{
public:
    std::size_t tryWrite(std::string_view offered) override
    {
        const std::size_t count = std::min(offered.size(), this->room);
        this->text.append(offered.substr(0, count));
        this->room -= count;
        return count;
    }

    long lines() const { return std::ranges::count(this->text, '\n'); }

    std::string text;
    std::size_t room = 1 << 20;
};

struct Fixture
{
    ManualClock clock;
    FakeSink sink;
    BoundedEventLog log{this->clock, this->sink, 10, 4096};

    void writeFlows(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->log.write(LogEntry(LogKind::Flow, "flow.placed").number("flow", i));
        }
    }
};
}

Test(boundedeventlog, flow_end_lines_are_logged_when_flow_limit_is_reached)
{
    // A VM that resumes after a pause finds a queue of SYNs and resets an open flow in the same
    // second; the log must still contain the reset.
    Fixture f;
    f.writeFlows(50);
    f.log.write(LogEntry(LogKind::FlowEnd, "flow.reset"));
    f.log.flush();
    cr_assert(f.sink.text.find("flow.reset") != std::string::npos);
    for (int i = 0; i < 50; ++i) {
        f.log.write(LogEntry(LogKind::FlowEnd, "flow.reset"));
    }
    cr_assert_eq(f.log.droppedLines(), 40U + 41U);
}

Test(boundedeventlog, flow_lines_beyond_limit_are_dropped_and_counted)
{
    Fixture f;
    f.writeFlows(35);
    f.log.flush();
    cr_assert_eq(f.sink.lines(), 11);
    cr_assert(f.sink.text.find(R"("event":"log.leftout","lines":25})") != std::string::npos);
    cr_assert_eq(f.log.droppedLines(), 25U);
    f.clock.advance(1s);
    f.writeFlows(5);
    f.log.flush();
    cr_assert_eq(f.sink.lines(), 16);
}

Test(boundedeventlog, flow_limit_does_not_apply_to_state_lines)
{
    Fixture f;
    f.writeFlows(35);
    f.log.write(LogEntry(LogKind::State, "store.lost"));
    f.log.flush();
    cr_assert(f.sink.text.find("store.lost") != std::string::npos);
}

Test(boundedeventlog, stalled_reader_causes_dropped_lines_and_bounded_memory)
{
    Fixture f;
    f.sink.room = 0;
    for (int i = 0; i < 1000; ++i) {
        f.log.write(LogEntry(LogKind::State, "upstream.changed").number("i", i));
        f.log.flush();
    }
    cr_assert_gt(f.log.droppedLines(), 900U);
    f.sink.room = 1 << 20;
    f.log.flush();
    f.log.flush();
    cr_assert_lt(f.sink.text.size(), 5000U);
    cr_assert(f.sink.text.find("log.leftout") != std::string::npos);
}

Test(boundedeventlog, text_is_escaped)
{
    const LogEntry entry =
        LogEntry(LogKind::State, "x").text("detail", "a \"b\" \\ c\nd").number("n", -5);
    cr_assert(entry.fields() == R"(,"event":"x","detail":"a \"b\" \\ c\u000ad","n":-5)");
}

Test(descriptorsink, write_to_full_pipe_is_partial_and_does_not_block)
{
    int ends[2];
    cr_assert_eq(::pipe(ends), 0);
    DescriptorSink sink(ends[1]);
    const std::string text(1 << 20, 'x');
    const std::size_t first = sink.tryWrite(text);
    cr_assert_gt(first, 0U);
    cr_assert_lt(first, text.size());
    cr_assert_eq(sink.tryWrite(text), 0U);
}
