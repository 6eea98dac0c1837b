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

/** An embedded in-memory H2 database. */
final class SqlStore implements AutoCloseable {
    private static final AtomicLong DATABASE_NUMBER = new AtomicLong();

    private final String url;
    private Connection replicationConnection;

    private SqlStore(String url) {
        this.url = url;
    }

    static SqlStore inMemory() throws SQLException {
        String name = "instance" + DATABASE_NUMBER.incrementAndGet();
        SqlStore store = new SqlStore("jdbc:h2:mem:" + name + ";LOCK_TIMEOUT=500");
        store.replicationConnection = store.connect();
        return store;
    }

    Connection connect() throws SQLException {
        Connection connection = DriverManager.getConnection(url);
        connection.setAutoCommit(false);
        return connection;
    }

    /** The result of a statement: the rows of a query, or the update count of a change. */
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
            return readRows(statement.getResultSet());
        }
    }

    /** Executes and commits the changes of log entries. */
    void apply(List<LogEntry> entries) throws SQLException {
        for (LogEntry entry : entries) {
            for (Change change : entry.changes()) {
                execute(replicationConnection, change.sql(), change.parameters());
            }
            replicationConnection.commit();
        }
    }

    /** Drops all data and applies a log from its first entry. */
    void rebuild(List<LogEntry> entries) throws SQLException {
        execute(replicationConnection, "DROP ALL OBJECTS", List.of());
        apply(entries);
    }

    @Override
    public void close() throws SQLException {
        replicationConnection.close();
    }

    private static SqlResult readRows(ResultSet results) throws SQLException {
        ResultSetMetaData meta = results.getMetaData();
        int columnCount = meta.getColumnCount();
        List<String> columns = new ArrayList<>();
        for (int i = 1; i <= columnCount; i++) {
            columns.add(meta.getColumnLabel(i));
        }
        List<List<Object>> rows = new ArrayList<>();
        while (results.next()) {
            rows.add(readRow(results, columnCount));
        }
        return new SqlResult(columns, rows, 0);
    }

    private static List<Object> readRow(ResultSet results, int columnCount) throws SQLException {
        List<Object> row = new ArrayList<>();
        for (int column : IntStream.rangeClosed(1, columnCount).toArray()) {
            Object value = results.getObject(column);
            boolean isJsonScalar =
                    value == null || value instanceof Number || value instanceof Boolean;
            row.add(isJsonScalar ? value : value.toString());
        }
        return row;
    }
}
