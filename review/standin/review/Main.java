package review;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Main {
    private static final int BROKEN = 1;
    private static final int HELD = 0;
    private static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 110_000;

    private Main() {}

    /** A case: sets up the fleet, plays, and returns whether the rule was broken. */
    private interface Case {
        boolean run(Record record, Fleet fleet, boolean trouble) throws Exception;
    }

    /** Takes the name of the case and its folder. */
    public static void main(String[] args) {
        limitTime();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = NOT_RUN;
        try (Record record = new Record(args[1]);
                Fleet fleet = new Fleet()) {
            status = caseOf(args[0]).run(record, fleet, trouble) ? BROKEN : HELD;
        } catch (Exception | Error e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static Case caseOf(String name) {
        return switch (name) {
            case "crash" -> Crash::run;
            case "burst" -> Burst::run;
            case "revoke" -> Revoke::run;
            default -> throw new IllegalArgumentException(name);
        };
    }

    private static void limitTime() {
        Thread t =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(LIMIT_MILLIS);
                                System.exit(NOT_RUN);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        t.setDaemon(true);
        t.start();
    }
}
