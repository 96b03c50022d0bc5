#include "app/packetbuffer.h"

#include <criterion/criterion.h>

using namespace radishladder::app;
using namespace std::chrono_literals;

Test(packetbuffer, packets_are_buffered_in_order_until_clients_retransmit_them)
{
    PacketBuffer buffer;
    const PacketBuffer::TimePoint start{1h};
    for (std::uint8_t i = 0; i < 30; ++i) {
        const std::uint8_t bytes[] = {i};
        cr_assert(buffer.add(bytes, start + i * 10ms));
    }
    const auto unexpired = buffer.takeUnexpired(start + 300ms);
    cr_assert_eq(unexpired.size(), 19U);
    cr_assert_eq(unexpired.front()[0], 11);
    cr_assert_eq(unexpired.back()[0], 29);
    cr_assert(buffer.isEmpty());
}

Test(packetbuffer, the_number_of_buffered_packets_is_bounded)
{
    PacketBuffer buffer;
    const PacketBuffer::TimePoint start{1h};
    const std::uint8_t bytes[1200] = {};
    int acceptedCount = 0;
    for (int i = 0; i < 100000; ++i) {
        acceptedCount += buffer.add(bytes, start) ? 1 : 0;
    }
    cr_assert_eq(acceptedCount, 2048);
}
