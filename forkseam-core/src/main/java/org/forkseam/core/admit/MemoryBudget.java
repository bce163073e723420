package org.forkseam.core.admit;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Accounts for the memory of all bytes that a process keeps for its peers, and decides what is
 * given up if that exceeds a budget. Sizes are those of the allocations, not of what they hold.
 *
 * <p>Requests that have arrived whole go before others: unfinished ones are given up for them,
 * first those that have stalled, then the newest that holds at least the mean, so that a small one
 * is not given up for large ones. Of responses, the largest is given up. Unfinished requests,
 * responses and large requests each leave a part of the budget to others.
 *
 * <p>Not thread-safe.
 *
 * @since 0.13
 */
public final class MemoryBudget {
    /** Requests up to this size may use the whole budget; larger ones leave room for them. */
    public static final long SMALL_BYTES = 64 << 10;

    /** Share of the budget that is full for large requests. */
    private static final double LARGE_SHARE = 0.8;

    /** Share of all unfinished requests; the rest is for whole ones and responses. */
    private static final double UNFINISHED_SHARE = 0.5;

    /** Share of all responses; the rest is for requests. */
    private static final double RESPONSE_SHARE = 0.7;

    /** An unfinished request that has received nothing for this long is given up first. */
    private static final long STALLED_MILLIS = 1_000;

    private final long mMaxBytes;

    /** Accounts with unfinished requests by age. */
    private final NavigableMap<Long, Account> mIncomplete = new TreeMap<>();

    private final Set<Account> mResponses = new LinkedHashSet<>();
    private long mNextNumber;
    private long mUnfinishedBytes;
    private long mRequestBytes;
    private long mResponseBytes;
    private long mGivenUp;
    private long mDenied;

    /** What memory is used for. */
    public enum Use {
        /** Requests that are not complete, or wait behind another on their connection. */
        UNFINISHED,
        /** The request that is being served. */
        REQUEST,
        /** Bytes of a response that were received and not accepted by the caller yet. */
        RESPONSE
    }

    /** The user of an account. */
    public interface Owner {
        /**
         * Called when the memory of a use has to be released, for which it does not count any more.
         * Never called for {@link Use#REQUEST}.
         */
        void onMemoryRevoked(Use use);
    }

    private MemoryBudget(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates a budget of the given number of bytes. */
    public static MemoryBudget of(long maxBytes) {
        return new MemoryBudget(maxBytes);
    }

    /** Opens an account, which is empty and takes no memory. */
    public Account open(Owner owner) {
        return new Account(owner);
    }

    // ---------------------------------------------------------------- state

    /** Returns the size of the budget in bytes. */
    public long maxBytes() {
        return mMaxBytes;
    }

    /** Returns the bytes of all uses. */
    public long totalBytes() {
        return mUnfinishedBytes + mRequestBytes + mResponseBytes;
    }

    /** Returns the bytes of requests, unfinished or not. */
    public long requestBytes() {
        return mUnfinishedBytes + mRequestBytes;
    }

    /** Returns the bytes of unfinished requests. */
    public long unfinishedBytes() {
        return mUnfinishedBytes;
    }

    /** Returns the bytes of responses. */
    public long responseBytes() {
        return mResponseBytes;
    }

    /** Returns how often memory was revoked since the start. */
    public long givenUpCount() {
        return mGivenUp;
    }

    /** Returns how often memory was denied since the start. */
    public long deniedCount() {
        return mDenied;
    }

    // ---------------------------------------------------------------- decisions

    private long ceiling(long bytes) {
        return bytes > SMALL_BYTES ? (long) (LARGE_SHARE * mMaxBytes) : mMaxBytes;
    }

    private boolean hasRoomForUnfinished(Account a, long bytes) {
        long growth = bytes - a.mUnfinished;
        boolean others = mIncomplete.size() > (a.mUnfinished > 0 ? 1 : 0);
        if (others && mUnfinishedBytes + growth > UNFINISHED_SHARE * mMaxBytes) {
            return false;
        }
        return totalBytes() + growth <= ceiling(bytes);
    }

    /**
     * Selects the account whose unfinished requests are given up.
     *
     * @param asker account that wants more memory for its own, or null
     * @param wanted the bytes that it wants
     * @return null if there is none; the asker if its own is the newest
     */
    private Account unfinishedVictim(Account asker, long wanted, long now) {
        boolean asksFirst = asker != null && asker.mUnfinished == 0;
        long sum = mUnfinishedBytes + (asksFirst ? wanted : 0);
        int count = mIncomplete.size() + (asksFirst ? 1 : 0);
        Account newest = asksFirst && wanted * count >= sum ? asker : null;
        Account stalled = null;
        for (Account a : mIncomplete.descendingMap().values()) {
            long bytes = a.mUnfinished;
            if (newest == null && bytes * count >= sum) {
                newest = a;
            }
            boolean isStalled = a != asker && now - a.mProgressAt >= STALLED_MILLIS;
            if (isStalled && (stalled == null || bytes > stalled.mUnfinished)) {
                stalled = a;
            }
        }
        return stalled != null ? stalled : newest;
    }

    private Account largestResponse(Account asker, long wanted) {
        Account largest = asker;
        long most = wanted;
        for (Account a : mResponses) {
            if (a != asker && a.mResponse > most) {
                largest = a;
                most = a.mResponse;
            }
        }
        return largest;
    }

    /** Memory of one peer. */
    public final class Account {
        private final Owner mOwner;
        private long mNumber;
        private long mProgressAt;
        private long mUnfinished;
        private long mRequest;
        private long mResponse;

        private Account(Owner owner) {
            mOwner = owner;
        }

        /** Returns the bytes of a use. */
        public long bytes(Use use) {
            return switch (use) {
                case UNFINISHED -> mUnfinished;
                case REQUEST -> mRequest;
                case RESPONSE -> mResponse;
            };
        }

        /**
         * Sets the bytes of unfinished requests, some of which have just arrived. Returns false and
         * changes nothing if there is no room for them.
         */
        public boolean holdUnfinished(long bytes, long nowMillis) {
            mProgressAt = nowMillis;
            while (bytes > mUnfinished && !hasRoomForUnfinished(this, bytes)) {
                Account victim = unfinishedVictim(this, bytes, nowMillis);
                if (victim == null || victim == this) {
                    mDenied++;
                    return false;
                }
                victim.revoke(Use.UNFINISHED);
            }
            setUnfinished(bytes);
            return true;
        }

        /**
         * Sets the bytes of the request that is being served. Returns false and changes nothing if
         * there is no room for them.
         */
        public boolean holdRequest(long bytes, long nowMillis) {
            while (bytes > mRequest && totalBytes() + bytes - mRequest > ceiling(bytes)) {
                Account victim = unfinishedVictim(null, 0, nowMillis);
                if (victim == null) {
                    mDenied++;
                    return false;
                }
                victim.revoke(Use.UNFINISHED);
            }
            mRequestBytes += bytes - mRequest;
            mRequest = bytes;
            return true;
        }

        /**
         * Sets the bytes of a response. Returns false and changes nothing if there is no room for
         * them, and no larger response that can be given up.
         */
        public boolean holdResponse(long bytes, long nowMillis) {
            while (bytes > mResponse && !hasRoomForResponse(bytes)) {
                boolean withinShare =
                        mResponseBytes + bytes - mResponse <= RESPONSE_SHARE * mMaxBytes;
                Account unfinished = withinShare ? unfinishedVictim(null, 0, nowMillis) : null;
                if (unfinished != null) {
                    unfinished.revoke(Use.UNFINISHED);
                    continue;
                }
                Account victim = largestResponse(this, bytes);
                if (victim == this) {
                    mDenied++;
                    return false;
                }
                victim.revoke(Use.RESPONSE);
            }
            setResponse(bytes);
            return true;
        }

        private boolean hasRoomForResponse(long bytes) {
            long growth = bytes - mResponse;
            return mResponseBytes + growth <= RESPONSE_SHARE * mMaxBytes
                    && totalBytes() + growth <= mMaxBytes;
        }

        /** Releases all memory. */
        public void close() {
            setUnfinished(0);
            setResponse(0);
            mRequestBytes -= mRequest;
            mRequest = 0;
        }

        private void revoke(Use use) {
            mGivenUp++;
            if (use == Use.UNFINISHED) {
                setUnfinished(0);
            } else {
                setResponse(0);
            }
            mOwner.onMemoryRevoked(use);
        }

        private void setUnfinished(long bytes) {
            if (mUnfinished == 0 && bytes > 0) {
                mNumber = mNextNumber++;
                mIncomplete.put(mNumber, this);
            } else if (mUnfinished > 0 && bytes == 0) {
                mIncomplete.remove(mNumber);
            }
            mUnfinishedBytes += bytes - mUnfinished;
            mUnfinished = bytes;
        }

        private void setResponse(long bytes) {
            if (mResponse == 0 && bytes > 0) {
                mResponses.add(this);
            } else if (mResponse > 0 && bytes == 0) {
                mResponses.remove(this);
            }
            mResponseBytes += bytes - mResponse;
            mResponse = bytes;
        }
    }

    /** Returns figures for the state dump, in bytes and counts. */
    public Map<String, Long> dump() {
        Map<String, Long> m = new TreeMap<>();
        m.put("max_bytes", mMaxBytes);
        m.put("unfinished_bytes", mUnfinishedBytes);
        m.put("request_bytes", mRequestBytes);
        m.put("response_bytes", mResponseBytes);
        m.put("given_up", mGivenUp);
        m.put("denied", mDenied);
        return m;
    }
}
