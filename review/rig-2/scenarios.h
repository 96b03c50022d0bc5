#pragma once

namespace review {
class Rig;

//! An open flow is reset while its host lives, after another writer has replaced the host's entry.
bool runOddEntry(Rig &rig, bool hasTrouble);

//! An open flow is sent to another host after a planned restart of a VM.
bool runPlannedRestart(Rig &rig, bool hasTrouble);

//! Hosts that start again under their identifiers get more flows than a cold host bears.
bool runColdReturn(Rig &rig, bool hasTrouble);

//! A draining host gets new flows through VMs whose relay is partitioned from the store.
bool runDrainBehindRelay(Rig &rig, bool hasTrouble);
}
