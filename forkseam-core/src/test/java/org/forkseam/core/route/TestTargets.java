package org.forkseam.core.route;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;

import java.util.ArrayList;
import java.util.List;

/** Creates targets for tests. */
final class TestTargets {
    private TestTargets() {}

    static Target ready(String id) {
        return Target.of(new TargetEntry(id, "pool", "10.0.0.1:1", "a", 64, false, 0));
    }

    static void leave(Target t) {
        TargetEntry e = t.entry();
        t.update(new TargetEntry(e.id(), e.pool(), e.address(), e.domain(), e.slots(), true, 0), 0);
    }

    static List<Target> ready(int count) {
        List<Target> out = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            out.add(ready("t" + i));
        }
        return out;
    }

    static void load(Target t, int requests) {
        for (int i = 0; i < requests; i++) {
            t.onRequestSent(0);
        }
    }
}
