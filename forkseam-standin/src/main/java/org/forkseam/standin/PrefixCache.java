package org.forkseam.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** LRU cache of the prompt blocks held by an engine. Not thread-safe. */
final class PrefixCache {
    static final int BLOCK_TOKENS = 16;

    private static final int BYTES_PER_TOKEN = 4;

    private final LinkedHashMap<Long, Boolean> mBlocks;
    private final List<String> mEvents = new ArrayList<>();

    PrefixCache(int maxBlocks) {
        mBlocks =
                new LinkedHashMap<>(64, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                        boolean evict = size() > maxBlocks;
                        if (evict) {
                            mEvents.add("removed " + eldest.getKey());
                        }
                        return evict;
                    }
                };
    }

    /**
     * Returns the hashes of a prompt's blocks; each hash covers the whole prefix up to its block.
     */
    static List<Long> blocks(String prompt) {
        int block = BLOCK_TOKENS * BYTES_PER_TOKEN;
        List<Long> out = new ArrayList<>(prompt.length() / block);
        long h = 17;
        for (int i = 0; i + block <= prompt.length(); i += block) {
            for (int j = i; j < i + block; j++) {
                h = h * 1_099_511_628_211L + prompt.charAt(j);
            }
            out.add(h);
        }
        return out;
    }

    /** Returns the number of leading blocks that are cached, and marks them as used. */
    int match(List<Long> blocks) {
        int n = 0;
        while (n < blocks.size() && mBlocks.get(blocks.get(n)) != null) {
            n++;
        }
        return n;
    }

    void add(List<Long> blocks) {
        // In reverse order, so that a prompt's leading blocks are evicted last.
        for (int i = blocks.size() - 1; i >= 0; i--) {
            if (mBlocks.put(blocks.get(i), true) == null) {
                mEvents.add("stored " + blocks.get(i));
            }
        }
    }

    void clear() {
        mBlocks.clear();
    }

    int size() {
        return mBlocks.size();
    }

    List<String> events() {
        return mEvents;
    }
}
