package org.forkseam.direct.log;

import org.slf4j.LoggerFactory;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging in code, which is faster at startup than an XML configuration.
 *
 * @since 0.2
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    private static final String CONFIGURATION_FILE = "/logback.xml";

    /** Creates the configurator; called by Logback. */
    public LogSetup() {}

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        // Daemons use this module's connections, but bring a configuration of their own.
        if (LogSetup.class.getResource(CONFIGURATION_FILE) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        // Registering a listener keeps Logback from loading its own status printer.
        context.getStatusManager().add(new StderrStatusListener());
        JsonLineEncoder encoder = new JsonLineEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        BoundedAsyncAppender queue = BoundedAsyncAppender.to(console);
        queue.setContext(context);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(queue);
        context.getLogger("forkseam").setLevel(Level.INFO);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Writes queued events and stops logging. */
    public static void stop() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }
}
