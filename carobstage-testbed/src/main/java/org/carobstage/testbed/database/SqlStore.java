package org.carobstage.testbed.database;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.carobstage.testbed.database.LogEntry.Change;

/** SQL on an embedded in-memory H2 database. */
final class SqlStore implements AutoCloseable {
    private static final AtomicLong NUMBERS = new AtomicLong();

    private final String url;
    private Connection applier;

    private SqlStore(String url) {
        this.url = url;
    }

    static SqlStore inMemory() throws SQLException {
        String name = "instance" + NUMBERS.incrementAndGet();
        SqlStore store = new SqlStore("jdbc:h2:mem:" + name + ";LOCK_TIMEOUT=500");
        store.applier = store.connect();
        return store;
    }

    Connection connect() throws SQLException {
        Connection connection = DriverManager.getConnection(url);
        connection.setAutoCommit(false);
        return connection;
    }

    /** What a statement gave. */
    record SqlResult(List<String> columns, List<List<Object>> rows, long updateCount) {}

    static SqlResult execute(Connection connection, String sql, List<Object> parameters)
            throws SQLException {
        try (PreparedStatement statement = connection.prepareStatement(sql)) {
            for (int i = 0; i < parameters.size(); i++) {
                statement.setObject(i + 1, parameters.get(i));
            }
            if (!statement.execute()) {
                return new SqlResult(List.of(), List.of(), statement.getUpdateCount());
            }
            return read(statement.getResultSet());
        }
    }

    /** Applies the entries of a primary's log. */
    void apply(List<LogEntry> entries) throws SQLException {
        for (LogEntry entry : entries) {
            for (Change change : entry.changes()) {
                execute(applier, change.sql(), change.parameters());
            }
            applier.commit();
        }
    }

    /** Drops all data and applies a log from its start. */
    void rebuild(List<LogEntry> entries) throws SQLException {
        execute(applier, "DROP ALL OBJECTS", List.of());
        apply(entries);
    }

    @Override
    public void close() throws SQLException {
        applier.close();
    }

    private static SqlResult read(ResultSet results) throws SQLException {
        ResultSetMetaData meta = results.getMetaData();
        int width = meta.getColumnCount();
        List<String> columns = new ArrayList<>();
        for (int i = 1; i <= width; i++) {
            columns.add(meta.getColumnLabel(i));
        }
        List<List<Object>> rows = new ArrayList<>();
        while (results.next()) {
            rows.add(row(results, width));
        }
        return new SqlResult(columns, rows, 0);
    }

    private static List<Object> row(ResultSet results, int width) throws SQLException {
        List<Object> row = new ArrayList<>();
        for (int column : IntStream.rangeClosed(1, width).toArray()) {
            Object value = results.getObject(column);
            boolean plain = value == null || value instanceof Number || value instanceof Boolean;
            row.add(plain ? value : value.toString());
        }
        return row;
    }
}
