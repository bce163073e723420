package org.forkseam.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the blocks of prompts that an engine has in memory, the ones used longest ago going first.
 */
final class PrefixCache {
    /** Tokens to a block. */
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
                        boolean out = size() > maxBlocks;
                        if (out) {
                            mEvents.add("removed " + eldest.getKey());
                        }
                        return out;
                    }
                };
    }

    /** Cuts a prompt into blocks; each block's hash covers everything before it. */
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

    /** Returns how many blocks from the start are held, and marks them as used. */
    int match(List<Long> blocks) {
        int n = 0;
        while (n < blocks.size() && mBlocks.get(blocks.get(n)) != null) {
            n++;
        }
        return n;
    }

    void add(List<Long> blocks) {
        // The last first, so that of one prompt the beginning stays longest.
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
